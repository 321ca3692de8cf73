import { Agent, createServer, request as openRequest } from 'node:http'

// A pass-through proxy on Node's http module alone, as the baseline of the benchmark. Usage: bareProxy.ts LISTEN_PORT TARGET_PORT
const [listenPort, targetPort] = process.argv.slice(2).map(Number)
const agent = new Agent({ keepAlive: true, maxSockets: 130 })
createServer((incoming, outgoing) => {
  const forwarded = openRequest({ host: '127.0.0.1', port: targetPort, method: incoming.method, path: incoming.url, headers: incoming.headers, agent }, answer => {
    outgoing.writeHead(answer.statusCode ?? 502, answer.headers)
    answer.pipe(outgoing)
  })
  forwarded.on('error', () => outgoing.destroy())
  incoming.pipe(forwarded)
}).listen(listenPort, '127.0.0.1')
