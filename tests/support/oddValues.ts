/** Maximum size of a value in the store, in bytes. */
const maxValueBytes = 1024 * 1024
/** Nesting depth that exceeds the recursion limit of many decoders. */
const deepNestingLevels = 100_000
/** Placeholder for the invalid part in the JSON of an otherwise valid value. */
const placeholder = '"@"'

/** Very deeply nested JSON: arrays, objects, and arrays up to the maximum size of a value. */
export const nestedTexts: readonly string[] = [
  '['.repeat(deepNestingLevels) + ']'.repeat(deepNestingLevels),
  '{"a":'.repeat(deepNestingLevels) + '1' + '}'.repeat(deepNestingLevels),
  '['.repeat(maxValueBytes / 2 - 1024) + ']'.repeat(maxValueBytes / 2 - 1024),
  '['.repeat(maxValueBytes)
]

/** Texts of numbers that are invalid in every field, and of values that resemble numbers. */
export const oddNumbers: readonly string[] = ['1e999', '-1e999', '1e308', '9007199254740992', '1e21', '-1', '0.5', 'NaN', 'Infinity', '-0x1', '"1"', 'null', 'true']

/** Encodes a value as JSON, with `text` inserted verbatim as the value of `field`, which may be an unknown field. */
export function encodeWithField (value: Record<string, unknown>, field: string, text: string): string {
  return JSON.stringify({ ...value, [field]: '@' }).replace(placeholder, () => text)
}
