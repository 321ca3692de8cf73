import { buildDefaultRules } from '../../src/core/index.js'
import { loadHashKey } from '../../src/runtime/hashKey.js'

/** Loads the default rules with the hash key of production. */
export async function loadRules () {
  return buildDefaultRules(await loadHashKey())
}
