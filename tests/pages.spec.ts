import test from 'ava'
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { gatewayEventNumbers } from '../src/core/gateway/effects.js'
import { controllerEventNumbers } from '../src/core/controller/controllerState.js'
import { refusalReasons, retryReasons } from '../src/core/domain/outcome.js'
import { eventNumbers } from '../src/core/router/routerEffects.js'
import { gatewaySettingsSchema } from '../src/protocol/gatewaySettings.js'
import { documentSchema } from '../src/protocol/documentText.js'
import {
  controllerSettingsSchema, loadSettingsSchema, operatorSettingsSchema, routerSettingsSchema, standinSettingsSchema
} from '../src/protocol/settings.js'
import { createGatewayMetrics, gatewayGauges } from '../src/runtime/gateway/gatewayMetrics.js'
import { runtimeEventNumbers } from '../src/runtime/log.js'
import { createControllerMetrics, createRouterMetrics } from '../src/runtime/metrics.js'

function readPage (name: string): string {
  return readFileSync(new URL(`../docs/${name}`, import.meta.url), 'utf8')
}

test('EVENTS.md lists exactly the events of the code', t => {
  const listed = [...readPage('EVENTS.md').matchAll(/^\| (\d{4}) \| (\w+) \|/gm)].map(match => `${match[1]} ${match[2]}`)
  const all = [eventNumbers, controllerEventNumbers, gatewayEventNumbers, runtimeEventNumbers].flatMap(numbers => Object.entries(numbers))
  t.deepEqual(listed.sort(), all.map(([name, number]) => `${number} ${name}`).sort())
})

test('METRICS.md lists exactly the metrics and reasons of the code', async t => {
  const page = readPage('METRICS.md')
  const gateway = createGatewayMetrics(() => Object.fromEntries(gatewayGauges.map(name => [name, 0])) as Record<typeof gatewayGauges[number], number>)
  const registries = [createRouterMetrics().registry, createControllerMetrics().registry, gateway.registry]
  const metrics = (await Promise.all(registries.map(async registry => await registry.getMetricsAsJSON()))).flat()
  const registered = new Set(metrics.map(metric => metric.name).filter(name => name.startsWith('fulmar_')))
  const listed = [...page.matchAll(/^\| `(fulmar_\w+)` \|/gm)].map(match => match[1] ?? '')
  t.deepEqual(listed.sort(), [...registered].sort())
  const listReasons = (title: string) => {
    const part = page.slice(page.indexOf(title))
    return [...part.slice(0, part.indexOf('\n## ', 4) < 0 ? undefined : part.indexOf('\n## ', 4)).matchAll(/^\| ([a-z-]+) \|/gm)]
      .map(match => match[1] ?? '').filter(name => name !== 'reason' && !/^-+$/.test(name))
  }
  t.deepEqual(listReasons('## Refusal reasons').sort(), [...refusalReasons].sort())
  t.deepEqual(listReasons('## Retry reasons').sort(), [...retryReasons].sort())
})

test('CONFIGURATION.md lists exactly the settings of the schemas', t => {
  const listed = new Set([...readPage('CONFIGURATION.md').matchAll(/^\| `\[([^\]]+)\]` \| `([^`]+)` \|/gm)].map(match => `${match[1]} ${match[2]}`))
  const schemas = [documentSchema, routerSettingsSchema, controllerSettingsSchema, operatorSettingsSchema, standinSettingsSchema, loadSettingsSchema, gatewaySettingsSchema]
  const expected = new Set(schemas.flatMap(schema => listFields('', schema as unknown as Definition)))
  t.deepEqual([...listed].sort(), [...expected].sort())
})

type Definition = { def: { type: string, innerType?: Definition, in?: Definition, valueType?: Definition }, shape?: Record<string, Definition> }

function unwrap (schema: Definition): Definition {
  const inner = schema.def.type === 'pipe' ? schema.def.in : schema.def.innerType
  return inner === undefined ? schema : unwrap(inner)
}

function listFields (path: string, schema: Definition): string[] {
  const unwrapped = unwrap(schema)
  if (unwrapped.def.valueType !== undefined) return listFields(`${path}.NAME`, unwrapped.def.valueType)
  return Object.entries(unwrapped.shape ?? {}).flatMap(([key, field]) => {
    const inner = unwrap(field)
    const nested = inner.shape !== undefined || inner.def.valueType !== undefined
    return nested ? listFields(path === '' ? key : `${path}.${key}`, field) : [`${path} ${key}`]
  })
}

test('functions begin with a verb of VERBS.md', t => {
  const verbs = new Set([...readPage('VERBS.md').matchAll(/^\| ([a-z]+) \|/gm)].map(match => match[1] ?? ''))
  const files = execFileSync('git', ['ls-files', 'src', 'platform', 'spec', 'measure', 'bench'], { encoding: 'utf8' }).split('\n')
  const sources = files.filter(file => file.endsWith('.ts') && !file.includes('/gen/'))
  const offenders = sources.flatMap(file => {
    const names = [...readFileSync(file, 'utf8').matchAll(/^(?:export )?(?:async )?function \*?(\w+)/gm)].map(match => match[1] ?? '')
    return names.filter(name => !verbs.has(/^[a-z]+/.exec(name)?.[0] ?? '')).map(name => `${file}: ${name}`)
  })
  t.deepEqual(offenders, [])
})
