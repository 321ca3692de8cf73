import test from 'ava'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import * as z from 'zod'
import { checkSettings } from '../src/bin/processSetup.js'

const schema = z.object({ host: z.object({ name: z.string() }) })
const inForce = { host: { name: 'host-1' } }

test('a settings file that is missing or invalid while the program runs is reported as a problem and does not end the program', t => {
  const directory = mkdtempSync(join(tmpdir(), 'fulmar-settings-'))
  t.teardown(() => rmSync(directory, { recursive: true }))
  const file = join(directory, 'settings.ini')
  t.regex(checkSettings(file, schema, inForce).problem ?? '', /cannot be read/)
  writeFileSync(file, '[host]\nnom = 1\n')
  t.truthy(checkSettings(file, schema, inForce).problem)
  writeFileSync(file, '[host]\nname = host-1\n')
  t.deepEqual(checkSettings(file, schema, inForce), { isSame: true, problem: undefined })
  writeFileSync(file, '[host]\nname = host-2\n')
  t.deepEqual(checkSettings(file, schema, inForce), { isSame: false, problem: undefined })
})
