import type { GatewayRoute } from '../src/core/gateway/model.js'
import test from 'ava'
import { chooseService } from '../src/core/gateway/routing.js'
import { buildGatewayState } from '../src/core/gateway/state.js'

/** Maximum deviation of a target's share of the requests: the users' bound. */
const maxShareDeviation = 0.1

/** Counts the requests that are routed to the first target when many hosts get a few requests each. */
function countFirstTarget (hosts: number, requestsPerHost: number, weights: [number, number]): number {
  const route: GatewayRoute = {
    name: 'split',
    host: 'shop.test',
    pathPrefix: '/',
    idempotent: true,
    timeoutMs: 1000,
    targetMs: 500,
    maxAttempts: 1,
    priority: 0,
    targets: [{ service: 'first', weight: weights[0] }, { service: 'second', weight: weights[1] }]
  }
  let first = 0
  for (let host = 0; host < hosts; host++) {
    const state = buildGatewayState({ host: `host-${host}`, zone: 'z', region: 'r', regionOf: new Map(), address: '', processorShare: 1 }, Math.imul(host + 1, 0x9e3779b1), 0)
    for (let request = 0; request < requestsPerHost; request++) {
      if (chooseService(state, route) === 'first') first += 1
    }
  }
  return first
}

for (const [hosts, requestsPerHost, weights] of [[200, 1, [50, 50]], [200, 2, [80, 20]], [70, 3, [90, 10]], [300, 1, [0.7, 0.3]]] as const) {
  test(`the targets of a split get their shares when ${hosts} hosts get ${requestsPerHost} requests each with weights ${weights.join(' to ')}`, t => {
    const share = countFirstTarget(hosts, requestsPerHost, [weights[0], weights[1]]) / (hosts * requestsPerHost)
    t.true(Math.abs(share - weights[0] / (weights[0] + weights[1])) < maxShareDeviation, `${share}`)
  })
}

test('on one host the shares of a split stay exact over many requests', t => {
  t.true(Math.abs(countFirstTarget(1, 1000, [90, 10]) - 900) <= 1)
})
