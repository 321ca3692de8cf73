import { createServer } from 'node:http'

// A backend server that does no work and answers every request with 512 bytes. Usage: bareBackend.ts LISTEN_PORT
const body = Buffer.alloc(512, 0x78)
createServer((incoming, outgoing) => {
  incoming.resume()
  incoming.on('end', () => {
    outgoing.writeHead(200, { 'content-length': body.length })
    outgoing.end(body)
  })
}).listen(Number(process.argv[2]), '127.0.0.1')
