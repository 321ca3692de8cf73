import test from 'ava'
import { buildCollectorChoice } from '../src/core/gateway/collectorChoice.js'
import { computeClaimDelayMs } from '../src/core/gateway/controlCapacity.js'
import { claimJitterMs } from '../src/core/gateway/limits.js'

// A host with 7 Mbit/s that granted keys took seconds to send its view to 90 hosts; its renewals were late and owners lost their keys.
test('hosts with a small link claim leadership after all hosts with a large one', t => {
  const latestLarge = claimJitterMs + computeClaimDelayMs({ processorShare: 0.2, linkMbps: 140 })
  t.true(computeClaimDelayMs({ processorShare: 2, linkMbps: 7 }) >= latestLarge)
  t.is(computeClaimDelayMs({ processorShare: 1, linkMbps: 140 }), 0)
  t.is(computeClaimDelayMs({ processorShare: 1 }), 0)
})

test('a host with a small link collects for its zone only if no other can', t => {
  const chooseCollectors = buildCollectorChoice({ maxDirectHosts: 2, minZoneHosts: 2 })
  const self = { host: 'host-0', address: '10.0.0.0:1', zone: 'zone-0' }
  const buildCandidate = (host: string, processorShare: number, linkMbps: number) => ({ host, address: `${host}:1`, zone: 'zone-1', processorShare, linkMbps, isCollecting: false })
  const small = [buildCandidate('host-1', 0.7, 7), buildCandidate('host-2', 0.3, 7)]
  t.is(chooseCollectors([...small, buildCandidate('host-3', 0.2, 140)], self, new Map()).get('zone-1')?.host, 'host-3')
  t.is(chooseCollectors(small, self, new Map()).get('zone-1')?.host, 'host-1')
})
