// Clients upload bodies of 360 kB in chunks of one byte, while others send orders on kept connections.
// LOST: a machine in touch passes a request from a kept connection on to a sound upstream and closes that connection without an answer, more than three times.
import { connect } from 'node:net'
import { buildConfiguration } from '../support/configuration.mjs'
import { hasTrouble, openClient, results, runCase, wait } from '../support/deployment.mjs'
import { startUpstream } from '../support/upstream.mjs'

const orderClients = 32
const uploadClients = 20
/** The largest upload of the site file. */
const uploadBytes = 360_000
const chunkBytes = hasTrouble ? 1 : 4000
/** What a client waits for an upload, as in the table of the grown deployment (8,201 ms). */
const uploadDeadlineMs = 8000
const durationMs = 25_000

async function upload (address, requestId) {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  let text = ''
  socket.on('error', () => {})
  socket.on('data', part => {
    text += part.toString('latin1')
    if (text.includes('\r\n\r\n')) socket.destroy()
  })
  socket.write(`POST /photos/1 HTTP/1.1\r\nHost: shop.test\r\nRequest-Id: ${requestId}\r\nDeadline-Ms: ${uploadDeadlineMs}\r\nTransfer-Encoding: chunked\r\n\r\n`)
  const chunk = `${chunkBytes.toString(16)}\r\n${'p'.repeat(chunkBytes)}\r\n`
  socket.write(`${chunk.repeat(uploadBytes / chunkBytes)}0\r\n\r\n`)
  const timer = setTimeout(() => socket.destroy(), uploadDeadlineMs)
  await new Promise(resolve => socket.on('close', resolve))
  clearTimeout(timer)
  return Number(text.slice(9, 12))
}

await runCase('review/5', 100_000, async (note, startDeployment) => {
  const configuration = buildConfiguration(1)
  configuration.routes.photos.timeout_s = uploadDeadlineMs / 1000
  const deployment = await startDeployment({ gateways: 2, configuration })
  const upstreams = []
  for (let index = 0; index < 10; index++) {
    const upstream = await startUpstream({ id: `b-${index}`, workMs: 150, note })
    upstreams.push(upstream)
    deployment.register(upstream, 'bookings', `zone-${index % 3 + 1}`)
  }
  if (!await deployment.waitReady(15_000)) return results.notRun
  await wait(1500)
  const unanswered = []
  let answered = 0
  const endAt = performance.now() + durationMs
  const orders = Array.from({ length: orderClients }, async (_, index) => {
    const host = deployment.hosts[index % 2]
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
  })
  await wait(2000)
  const statuses = await Promise.all(Array.from({ length: uploadClients }, async (_, index) => {
    const requestId = `u${index}`
    note('client-sent', { requestId, bytes: uploadBytes, chunkBytes })
    const status = await upload(deployment.hosts[index % 2].front, requestId)
    note('client-answered', { requestId, status })
    return status
  }))
  await Promise.all(orders)
  const ran = new Set(upstreams.flatMap(upstream => upstream.runs.map(run => run.requestId)))
  const lost = unanswered.filter(each => ran.has(each.requestId))
  const ends = deployment.hosts.map(host => host.ends)
  note('summary', { answered, uploads: statuses, unanswered: unanswered.length, lost: lost.length, processesThatEndedByThemselves: ends })
  console.log(`answered ${answered}, uploads ${statuses.join(' ')}, requests from kept connections lost at sound servers ${lost.length} (3 allowed), ends of processes ${ends.join(' ')}`)
  if (answered < 100) return results.notRun
  return lost.length > 3 ? results.broken : results.held
})
