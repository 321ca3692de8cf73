import type { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js'
import type { TlsSettings } from '../protocol/settings.js'
import { credentials, experimental, ServerCredentials as Servers } from '@grpc/grpc-js'
import { readFileSync } from 'node:fs'

/** Interval at which the certificate files are checked for changes, in milliseconds. */
const refreshIntervalMs = 5000

/** Client and server credentials for connections between processes. */
export type PeerCredentials = {
  client: ChannelCredentials
  server: ServerCredentials
  /** Reads the PEM files for the admin port; undefined without TLS. */
  readPem: (() => { ca: Buffer, cert: Buffer, key: Buffer }) | undefined
}

/** Creates mutual TLS credentials that are reloaded when their files change, or insecure ones for loopback. */
export function createPeerCredentials (tls: TlsSettings): PeerCredentials {
  const { ca, certificate, key } = tls
  if (tls['insecure-loopback'] || ca === undefined || certificate === undefined || key === undefined) {
    return { client: credentials.createInsecure(), server: Servers.createInsecure(), readPem: undefined }
  }
  const provider = new experimental.FileWatcherCertificateProvider({
    caCertificateFile: ca,
    certificateFile: certificate,
    privateKeyFile: key,
    refreshIntervalMs
  })
  return {
    client: experimental.createCertificateProviderChannelCredentials(provider, provider),
    server: experimental.createCertificateProviderServerCredentials(provider, provider, true),
    readPem: () => ({ ca: readFileSync(ca), cert: readFileSync(certificate), key: readFileSync(key) })
  }
}

/** Returns whether an address is on the loopback interface. */
export function isLoopback (address: string): boolean {
  return /^(127\.\d+\.\d+\.\d+|\[::1\]):\d+$/.test(address)
}

/** Finds an address that would accept unauthenticated connections: one outside loopback without TLS. */
export function findInsecurePort (tls: TlsSettings, addresses: readonly string[]): string | undefined {
  if (!tls['insecure-loopback']) return undefined
  return addresses.find(address => !isLoopback(address))
}
