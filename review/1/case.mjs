// Backend servers spoil 2% of their answers by one byte in the head: a blank in a header's name, or a status below 100.
// LOST: a machine in touch passes a request from a kept connection on to a sound upstream and closes that connection without an answer, more than three times.
import { buildConfiguration } from '../support/configuration.mjs'
import { hasTrouble, openClient, results, runCase, wait } from '../support/deployment.mjs'
import { startUpstream } from '../support/upstream.mjs'

const clients = 16
const durationMs = 20_000
const gateways = 3
const upstreamCount = 6
/** Share of the backend servers that spoil answers, and share of their answers: below the doses of `garble` (0.35 and 0.02 in the site file). */
const spoilingUpstreams = 2
const spoiledShare = 0.02

await runCase('review/1', 100_000, async (note, startDeployment) => {
  const deployment = await startDeployment({ gateways, configuration: buildConfiguration(1) })
  let spoiled = 0
  let answers = 0
  const spoil = (response, text, headers) => {
    answers += 1
    if (!hasTrouble || Math.floor(answers * spoiledShare) === Math.floor((answers - 1) * spoiledShare)) return false
    spoiled += 1
    const stampName = spoiled % 2 === 1 ? 'Response Stamp' : 'Response-Stamp'
    const statusLine = spoiled % 2 === 1 ? 'HTTP/1.1 200 OK' : 'HTTP/1.1 020 OK'
    note('upstream-spoiled', { requestId: headers['Request-Id'], statusLine, stampName })
    response.socket.write(`${statusLine}\r\nRequest-Id: ${headers['Request-Id']}\r\n${stampName}: ${headers['Response-Stamp']}\r\nContent-Length: ${text.length}\r\n\r\n${text}`)
    return true
  }
  const upstreams = []
  for (let index = 0; index < upstreamCount; index++) {
    const isSpoiling = index < spoilingUpstreams
    const upstream = await startUpstream({ id: `b-${index}`, workMs: 150, note, ...(isSpoiling ? { spoil } : {}) })
    upstreams.push({ ...upstream, isSpoiling })
    deployment.register(upstream, 'bookings', `zone-${index % 3 + 1}`)
  }
  if (!await deployment.waitReady(15_000)) return results.notRun
  await wait(2000)
  /** Requests from kept connections that ended without an answer. */
  const unanswered = []
  let answered = 0
  const endAt = performance.now() + durationMs
  const play = async index => {
    const host = deployment.hosts[index % gateways]
    let count = 0
    while (performance.now() < endAt) {
      const client = openClient(host.front)
      let isKept = false
      while (performance.now() < endAt && client.isOpen()) {
        count += 1
        const requestId = `c${index}-${count}`
        note('client-sent', { requestId, host: host.name, isKept })
        const answer = await client.ask('POST', '/orders/1', { requestId, deadlineMs: 1200, headers: ['Content-Length: 5'], body: 'order' })
        note('client-answered', { requestId, status: answer.status })
        if (answer.status === 0 && isKept) unanswered.push({ requestId, host: host.name })
        if (answer.status === 200) answered += 1
        if (answer.status === 0) break
        isKept = true
        await wait(20)
      }
      client.close()
      await wait(100)
    }
  }
  await Promise.all(Array.from({ length: clients }, async (_, index) => await play(index)))
  const sound = new Set(upstreams.filter(each => !each.isSpoiling).flatMap(each => each.runs.map(run => run.requestId)))
  const lost = unanswered.filter(each => sound.has(each.requestId))
  const ends = deployment.hosts.map(host => host.ends)
  note('summary', { answered, spoiled, unanswered: unanswered.length, lost: lost.length, processesThatEndedByThemselves: ends })
  console.log(`answered ${answered}, spoiled answers ${spoiled}, requests from kept connections lost at sound servers ${lost.length} (3 allowed), ends of processes ${ends.join(' ')}`)
  if (answered < 100) return results.notRun
  return lost.length > 3 ? results.broken : results.held
})
