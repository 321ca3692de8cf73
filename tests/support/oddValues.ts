/** Largest value of the store, in bytes. */
const maxValueBytes = 1024 * 1024
/** Levels of nesting that many decoders can't follow. */
const deepLevels = 100_000
/** Stands for the odd part in the text of an otherwise good value. */
const mark = '"@"'

/** Texts that are nested very deeply: arrays, objects, and arrays up to the largest value. */
export const nestedTexts: readonly string[] = [
  '['.repeat(deepLevels) + ']'.repeat(deepLevels),
  '{"a":'.repeat(deepLevels) + '1' + '}'.repeat(deepLevels),
  '['.repeat(maxValueBytes / 2 - 1024) + ']'.repeat(maxValueBytes / 2 - 1024),
  '['.repeat(maxValueBytes)
]

/** Texts of numbers that no field may have, and of what looks like a number. */
export const oddNumbers: readonly string[] = ['1e999', '-1e999', '1e308', '9007199254740992', '1e21', '-1', '0.5', 'NaN', 'Infinity', '-0x1', '"1"', 'null', 'true']

/** Puts a text in the place of a field, or of one that is unknown, without encoding it. */
export function encodeWithField (value: Record<string, unknown>, field: string, text: string): string {
  return JSON.stringify({ ...value, [field]: '@' }).replace(mark, () => text)
}
