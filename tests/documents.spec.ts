import test from 'ava'
import fc from 'fast-check'
import { readFileSync, readdirSync } from 'node:fs'
import { buildDocumentText } from '../src/demo/documentTemplate.js'
import { parseDocument } from '../src/protocol/documentText.js'
import { formatProblems, parseIni } from '../src/protocol/iniSchema.js'
import { controllerSettingsSchema, operatorSettingsSchema, routerSettingsSchema, standinSettingsSchema } from '../src/protocol/settings.js'

const text = buildDocumentText([{ name: 'cat-1', address: '127.0.0.1:9001', service: 'catalogue', zone: 'tbilisi-1' }])

function listProblems (changed: string): string[] {
  const parsed = parseDocument(changed, 1)
  return parsed.kind === 'invalid' ? parsed.problems.map(problem => `[${problem.section}] ${problem.key}: ${problem.allowed}`) : []
}

test('a document built from the template is valid', t => {
  const parsed = parseDocument(text, 4)
  t.is(parsed.kind, 'valid')
  if (parsed.kind !== 'valid') return
  t.is(parsed.value.revision, 4)
  t.deepEqual(parsed.value.services.map(service => [service.name, service.checksGrants]), [['demo.catalogue', true], ['demo.bookings', false]])
  t.is(parsed.value.services[0]?.routes.length, 3)
})

const invalidDocuments: Array<[string, (text: string) => string, RegExp]> = [
  ['an unknown key', each => each.replace('name = demo', 'name = demo\ncolour = red'), /\[team\] colour/],
  ['an unknown section', each => `${each}\n[weather]\nrain = true\n`, /weather/],
  ['a bad value', each => each.replace('target-ms = 50', 'target-ms = soon'), /\[rank.lookup\] target-ms: a number/],
  ['a missing section', each => each.replace(/\[rank\.upload\][^[]*/, ''), /rank/],
  ['floors over 1', each => each.replace('floor = 0.4', 'floor = 0.9'), /add up/],
  ['an unknown service', each => each.replace('service = catalogue\naddress', 'service = cake\naddress'), /\[backend.cat-1\] service/],
  ['a route without a key', each => each.replace('path = /items/{key}', 'path = /items'), /\{key\}/],
  ['a repeated key', each => each.replace('name = demo', 'name = demo\nname = other'), /each key once/],
  ['a repeated section', each => `${each}\n[team]\nname = two\n`, /each section once/],
  ['ranges that are no power of two', each => each.replace('ranges = 64', 'ranges = 60'), /power of two/],
  ['a name of the prototype', each => each.replace('[backend.cat-1]', '[backend.__proto__]'), /./]
]

for (const [name, change, expected] of invalidDocuments) {
  test(`a document with ${name} is refused, and the problem says where it is`, t => {
    const problems = listProblems(change(text))
    t.true(problems.length > 0)
    t.regex(problems.join('\n'), expected)
  })
}

test('no text makes the parser throw, and a text that it accepts is accepted again', t => {
  const lines = text.split('\n')
  const mutated = fc.tuple(fc.nat({ max: lines.length }), fc.string(), fc.nat({ max: 3 })).map(([at, added, drop]) => {
    return [...lines.slice(0, at), added, ...lines.slice(at + drop)].join('\n')
  })
  fc.assert(fc.property(fc.oneof(fc.string(), mutated), candidate => {
    const first = parseDocument(candidate, 1)
    const second = parseDocument(candidate, 1)
    return first.kind === second.kind && (first.kind === 'valid' || first.problems.length > 0)
  }), { seed: 5, numRuns: 1500 })
  t.pass()
})

test('a problem in a settings file is reported with file, section, key and what is allowed', t => {
  const parsed = parseIni('[router]\nname = Entry 1\n', routerSettingsSchema)
  t.is(parsed.kind, 'invalid')
  if (parsed.kind !== 'invalid') return
  t.regex(formatProblems('r.ini', parsed.problems), /r\.ini: \[router\] name: lower-case/)
})

const examples = ['wheelwise', 'cukorka', 'local'].flatMap(folder => {
  return readdirSync(new URL(`../examples/${folder}`, import.meta.url)).map(file => `${folder}/${file}`)
})

for (const file of examples) {
  test(`the example ${file} is valid`, t => {
    const content = readFileSync(new URL(`../examples/${file}`, import.meta.url), 'utf8')
    const schemas = { router: routerSettingsSchema, controller: controllerSettingsSchema, operator: operatorSettingsSchema, standin: standinSettingsSchema }
    const name = Object.keys(schemas).find(each => file.includes(`/${each}`)) as keyof typeof schemas | undefined
    if (file.endsWith('load.ini')) return t.pass()
    const parsed = name === undefined ? parseDocument(content, 1) : parseIni<unknown>(content, schemas[name])
    t.deepEqual(parsed.kind === 'invalid' ? parsed.problems : [], [])
  })
}
