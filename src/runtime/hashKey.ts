import xxhash from 'xxhash-wasm'

/** Loads the hash that maps keys to 32 bits (xxHash). */
export async function loadHashKey (): Promise<(key: string) => number> {
  const { h32 } = await xxhash()
  return key => h32(key)
}
