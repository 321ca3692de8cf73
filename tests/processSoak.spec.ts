import test from 'ava'
import { build } from 'esbuild'
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { playSoak } from './soak/playSoak.js'
import { planSoak } from './soak/soakPlan.js'

/** Optional dependencies that bunyan loads only when they are installed. */
const optionalModules = ['dtrace-provider', 'mv', 'safe-json-stringify', 'moment']

/** Bundles the program as for a deployment; returns the path of the bundle. */
async function buildProgram (): Promise<string> {
  const outfile = join(mkdtempSync(join(tmpdir(), 'fulmar-program-')), 'fulmar-platform.cjs')
  await build({ entryPoints: ['platform/main.ts'], bundle: true, platform: 'node', target: 'node20', format: 'cjs', external: optionalModules, outfile, logLevel: 'error' })
  return outfile
}

test('real processes violate no invariant during a short series of faults', async t => {
  const result = await playSoak(await buildProgram(), 1, { hosts: 3, backends: 6, lengthMs: 8000, steps: 6 })
  t.deepEqual(result.broken, [], `logs: ${result.directory}`)
  t.true(result.answered > result.calls / 2, `${result.answered} of ${result.calls}`)
})

test('a soak plan is the same for the same seed, and its steps lie within the duration of the soak', t => {
  const sizes = { hosts: 4, backends: 8, lengthMs: 14_000, steps: 40 }
  t.deepEqual(planSoak(7, sizes), planSoak(7, sizes))
  t.true(planSoak(7, sizes).every(step => step.at >= 500 && step.at < sizes.lengthMs - 1000))
})
