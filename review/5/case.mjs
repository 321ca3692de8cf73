// The granting host is cut off from the store, the other gateway is killed and starts again, and a server that leaves starts again in place.
// OWNER: two upstreams that are up hold the same keys for over half a second, with requests or without; or an upstream takes a key with a fencing token that isn't above all with which others had it.
import { buildConfiguration } from '../support/configuration.mjs'
import { hasTrouble, openClient, results, runCase, wait } from '../support/deployment.mjs'
import { startUpstream } from '../support/upstream.mjs'

const sampleMs = 20
const allowedMs = 500
const keys = 65_536
const keyStep = 64
/** Time for which the granting host is cut off from the store: `core_cut` in the site file. */
const cutMs = 5500
/** Time for which the killed gateway is down: `herd_kill` in the site file. */
const downMs = 2000
const grantingHostKey = 'fulmar/granting-host'

await runCase('review/5', 60_000, async (note, startDeployment) => {
  const deployment = await startDeployment({ gateways: 2, configuration: buildConfiguration(1) })
  const upstreams = []
  const registrations = []
  for (let index = 0; index < 8; index++) {
    const upstream = await startUpstream({ id: `c-${index}`, sharded: true, workMs: 40, note })
    upstreams.push(upstream)
    registrations.push(deployment.register(upstream, 'catalog', `zone-${index % 3 + 1}`))
  }
  const listHolders = key => upstreams.filter(upstream => upstream.holds(key))
  const isAllHeld = () => {
    for (let key = 0; key < keys; key += keyStep) if (listHolders(key).length === 0) return false
    return true
  }
  const waitFor = async (isTrue, timeoutMs) => {
    for (const end = Date.now() + timeoutMs; Date.now() < end && !isTrue();) await wait(10)
    return isTrue()
  }
  const readGranting = () => JSON.parse(deployment.store.read(grantingHostKey) ?? '{}').host
  if (!await deployment.waitReady(20_000) || !await waitFor(isAllHeld, 10_000)) return results.notRun
  await wait(3000)
  const sharedSince = new Map()
  const sharedAt = { from: Infinity, to: -Infinity }
  let longest = { ms: 0, key: undefined, holders: [] }
  const sampler = setInterval(() => {
    const now = performance.now()
    for (let key = 0; key < keys; key += keyStep) {
      const holders = listHolders(key)
      if (holders.length < 2) {
        sharedSince.delete(key)
        continue
      }
      const since = sharedSince.get(key) ?? now
      sharedSince.set(key, since)
      if (key === 0) Object.assign(sharedAt, { from: since, to: now })
      if (now - since > longest.ms) longest = { ms: now - since, key, holders: holders.map(upstream => `${upstream.id} (${upstream.listGrants().find(grant => grant.from <= key && key <= grant.to)?.fence})`) }
    }
  }, sampleMs)

  const former = deployment.hosts.find(host => host.name === readGranting())
  if (former === undefined) return results.notRun
  note('granting-host', { host: former.name })
  if (hasTrouble) {
    note('cut-from-store', { host: former.name })
    former.storeLink.silence(cutMs)
  }
  if (hasTrouble) {
    for (const host of deployment.hosts) if (host !== former) deployment.kill(host, downMs)
    const hasSuccessor = await waitFor(() => ![undefined, former.name].includes(readGranting()), 6000)
    note('granting-host', { host: readGranting() })
    if (!hasSuccessor) return results.notRun
  }
  await wait(500)
  const [server] = upstreams
  const playing = { isOn: true }
  const clients = deployment.hosts.map(async (host, index) => {
    let client = openClient(host.front)
    for (let count = 1; playing.isOn; count++) {
      const requestId = `r${index}-${count}`
      const answer = await client.ask('GET', '/reads/1', { requestId, deadlineMs: 1000, headers: ['Shard-Key: 100'] })
      note('client-answered', { requestId, host: host.name, status: answer.status, body: answer.body })
      if (!client.isOpen()) client = openClient(host.front)
      await wait(50)
    }
    client.close()
  })
  const lost = []
  for (let key = 0; key < keys; key += keyStep) if (server.holds(key)) lost.push(key)
  const restart = async restartMs => {
    registrations[0].pause()
    await server.restart(restartMs)
    // A server writes its entry about every `heartbeat_s`, 0.87 s.
    await wait(800)
    registrations[0].entry.born = Date.now()
    registrations[0].entry.sequence = 1
    registrations[0].entry.state = 'ready'
    registrations[0].report()
  }
  note('server-leaves', { upstream: 'c-0' })
  registrations[0].entry.state = 'draining'
  registrations[0].report()
  // The keys go to other servers once this one has released them.
  const isMoved = await waitFor(() => lost.every(key => listHolders(key).some(holder => holder !== server)), 8000)
  note('keys-moved', { isMoved, keys: lost.length })
  if (!isMoved) return results.notRun
  if (hasTrouble) await restart(150)
  await wait(7000)
  playing.isOn = false
  await Promise.all(clients)
  clearInterval(sampler)
  // Requests for one key that began at both servers while both held it.
  const begun = upstreams.flatMap(upstream => upstream.runs.filter(run => run.key === 100 && run.at >= sharedAt.from && run.at <= sharedAt.to).map(() => upstream.id))
  const begunAt = Object.fromEntries(upstreams.map(upstream => [upstream.id, begun.filter(id => id === upstream.id).length]))
  note('summary', { longest, begunAt })
  console.log(`longest time for which two servers held the same keys: ${Math.round(longest.ms)} ms (${allowedMs} allowed), key ${longest.key}, ${longest.holders.join(' and ')}; requests for key 100 begun meanwhile ${JSON.stringify(begunAt)}`)
  return longest.ms > allowedMs ? results.broken : results.held
})
