import test from 'ava'
import { readFileSync } from 'node:fs'
import { credentials } from '@grpc/grpc-js'
import { decodeLeadership } from '../src/runtime/leadership.js'
import { applyDocument } from '../src/operator/applyDocument.js'
import { createReportClient } from '../src/runtime/reportClient.js'
import { decodeRecord, decodeStoredDocument } from '../src/protocol/storeRecords.js'
import { encodeWithField, nestedTexts } from './support/oddValues.js'
import { call, startFleet } from './support/fleet.js'

/** A key of each kind of record. */
const recordKeys = ['fulmar/documents/x', 'fulmar/assignments/x.y', 'fulmar/fleet', 'fulmar/routers/x']
const assignment = { revision: 1, operation: 'o', backends: [], ranges: [[-1, 1, -1, -1]], keys: [], holders: [] }
const entry = { router: 'r-1', address: '10.0.0.1:7001', adminAddress: '10.0.0.1:7002', zone: 'z-1', generation: 1 }

/** Builds the stored record of a team's document with the given text. */
function wrapDocument (text: string): string {
  return JSON.stringify({ revision: 1, operation: 'o', earlier: [], author: 'a', text })
}

/** Texts that the INI library can't split into sections, or parses into very deeply nested ones. */
const invalidDocuments = [
  '[' + 'a.'.repeat(10_000) + 'a]\nx=1\n',
  '[' + 'a.'.repeat(400_000) + 'a]\nx=1\n',
  'x=1\r[' + 'a.'.repeat(10_000) + 'a]\ny=1\n',
  `["${'a\\u002e'.repeat(10_000)}a"]\nx=1\n`,
  'team=null\n[team.x]\nname=x\n',
  '[]\n[.]\n[..]\n=\n',
  '[__proto__.a]\nb=1\n',
  'team[]=1\n[team.x]\ny=1\n'
]

for (const [index, text] of invalidDocuments.entries()) {
  test(`a team's document with invalid or deeply nested sections is rejected, and crashes no router (${index})`, t => {
    t.is(decodeRecord('fulmar/documents/x', wrapDocument(text))?.kind, 'rejected')
  })
}

test('deeply nested records are rejected, and crash no router', t => {
  for (const text of nestedTexts) {
    for (const key of recordKeys) t.is(decodeRecord(key, text)?.kind, 'rejected', key)
    t.is(decodeStoredDocument(text), undefined)
    t.is(decodeLeadership(text), undefined)
    for (const field of Object.keys(assignment)) t.is(decodeRecord('fulmar/assignments/x.y', encodeWithField(assignment, field, text))?.kind, 'rejected', field)
    for (const field of Object.keys(entry).filter(name => name !== 'generation')) t.is(decodeRecord('fulmar/routers/x', encodeWithField(entry, field, text))?.kind, 'rejected', field)
  }
})

test('records with an address to which no connection can be opened are rejected, and crash no router', t => {
  for (const address of ['', '\n', 'host', '10.0.0.1:99999', '10.0.0.1:0', '999.0.0.1:80', 'router.test:80']) {
    t.is(decodeLeadership(JSON.stringify({ controller: 'c', address })), undefined, address)
    for (const field of ['address', 'adminAddress']) {
      t.is(decodeRecord('fulmar/routers/x', JSON.stringify({ ...entry, [field]: address }))?.kind, 'rejected', `${field} ${address}`)
      t.is(decodeRecord('fulmar/fleet', JSON.stringify({ revision: 1, operation: 'o', routers: [{ ...entry, [field]: address }] }))?.kind, 'rejected', `${field} ${address}`)
    }
  }
  t.is(decodeRecord('fulmar/fleet', JSON.stringify({ revision: 1, operation: 'o', routers: [entry] }))?.kind, 'fleet')
})

test('a leadership record with an address to which no call can be sent crashes no router', t => {
  const reports = createReportClient(credentials.createInsecure())
  t.teardown(reports.close)
  for (const address of ['\n', '', ':', '10.0.0.1:99999']) t.notThrows(() => reports.setTarget(JSON.stringify({ controller: 'c', address })), JSON.stringify(address))
})

test.serial('invalid records in the store crash no router and no controller, and later documents are applied', async t => {
  const { fleet, timers } = await startFleet(t)
  for (const [index, text] of invalidDocuments.entries()) await fleet.operatorStore.compareAndSwap(`fulmar/documents/odd-${index}`, 0, wrapDocument(text))
  for (const [index, text] of nestedTexts.slice(0, 2).entries()) {
    for (const prefix of ['documents', 'assignments', 'routers', 'other']) await fleet.operatorStore.compareAndSwap(`fulmar/${prefix}/nested-${index}`, 0, text)
  }
  await fleet.operatorStore.compareAndSwap('fulmar/routers/odd', 0, JSON.stringify({ ...entry, router: 'odd', address: '\n' }))
  await applyDocument(fleet.operatorStore, { team: 'demo', text: fleet.documentText, baseRevision: 1, author: 'test' }, timers)
  await fleet.waitUntil(() => fleet.routers.every(router => router.getState().documents.get('demo')?.revision === 2), 8000)
  t.is((await call(fleet.routers[0]?.address ?? '', { host: 'catalogue.demo.test', path: '/items/a' })).status, 200)
})

test('a document with an address whose numbers are out of range is rejected, since only a name service could resolve it', t => {
  const text = readFileSync(new URL('../examples/local/wheelwise.ini', import.meta.url), 'utf8')
  t.is(decodeRecord('fulmar/documents/x', wrapDocument(text))?.kind, 'document')
  for (const address of ['999.0.0.1:80', '10.0.0.256:80', '10.0.0.1:0', '10.0.0.1:65536', '[::1::2]:80']) {
    t.is(decodeRecord('fulmar/documents/x', wrapDocument(text.replace(/^address = \S+/m, `address = ${address}`)))?.kind, 'rejected', address)
  }
})

test('an epoch or revision that is too large to be incremented is rejected', t => {
  for (const value of [2 ** 53 - 1, 2 ** 53, 1e308, 0.5]) {
    t.is(decodeRecord('fulmar/assignments/x.y', JSON.stringify({ ...assignment, revision: value }))?.kind, 'rejected')
    t.is(decodeRecord('fulmar/assignments/x.y', JSON.stringify({ ...assignment, ranges: [[-1, value, -1, -1]] }))?.kind, 'rejected')
    t.is(decodeRecord('fulmar/fleet', JSON.stringify({ revision: 1, operation: 'o', routers: [{ ...entry, generation: value }] }))?.kind, 'rejected')
  }
})
