import { diffArrays } from 'diff'

/** One edit that leads from an earlier value to a later one: number of characters to keep, then number to delete, then text to insert. */
export type ValueEdit = { keep: number, drop: number, insert: string }

/** Maximum number of pieces that differ; computing larger diffs costs more than reading the value from the store. */
const maxChangedPieces = 300

/** Builds the edits that lead from one value to another; undefined when they differ in too many places. */
export function buildEdits (base: string, next: string): ValueEdit[] | undefined {
  const parts = diffArrays(splitPieces(base), splitPieces(next), { maxEditLength: maxChangedPieces })
  if (parts === undefined) return undefined
  const edits: ValueEdit[] = []
  let edit: ValueEdit = { keep: 0, drop: 0, insert: '' }
  for (const part of parts) {
    const text = part.value.join('')
    if (part.added) edit.insert += text
    else if (part.removed) edit.drop += text.length
    else {
      // Characters kept after a change belong to the next edit.
      if (edit.drop > 0 || edit.insert !== '') {
        edits.push(edit)
        edit = { keep: 0, drop: 0, insert: '' }
      }
      edit.keep += text.length
    }
  }
  return [...edits, edit]
}

/** Applies edits to the value that they were built from; undefined when they do not cover exactly its length. */
export function applyEdits (base: string, edits: readonly ValueEdit[]): string | undefined {
  let at = 0
  const pieces: string[] = []
  for (const { keep, drop, insert } of edits) {
    pieces.push(base.slice(at, at + keep), insert)
    at += keep + drop
  }
  return at === base.length ? pieces.join('') : undefined
}

/** Computes the approximate size of edits in a message, in bytes. */
export function computeEditBytes (edits: readonly ValueEdit[]): number {
  return edits.reduce((sum, edit) => sum + edit.insert.length + editOverheadBytes, 0)
}

/** Size of an encoded edit without its text, in bytes: two lengths and their tags. */
const editOverheadBytes = 12

/** Splits a text after each closing brace, so that each object in a JSON table becomes a piece of its own. */
function splitPieces (text: string): string[] {
  return text.split(/(?<=\})/)
}
