import type { ByRank, Rank } from './rank.js'

/** Service objectives and limits that a team sets for one rank of its requests. */
export type RankPolicy = {
  /** Target response time, in milliseconds. */
  targetMs: number
  /** Relative value of one answer within the target time; only ratios matter. */
  worth: number
  /** Share of a backend server's slot time reserved for the rank under overload, 0 to 1. */
  floor: number
  /** Longest time a caller waits, in milliseconds. */
  deadlineMs: number
  /** Maximum number of requests queued for one backend server. */
  queueLimit: number
}

/** Part of a request that contains its key. */
export type KeySource =
  | { kind: 'path' }
  | { kind: 'header', name: string }
  | { kind: 'query', name: string }

/** One rule that classifies requests of a service; the first match applies. */
export type Route = {
  name: string
  /** Upper-case HTTP method, or `*`. */
  method: string
  /** Path segments; `{key}` captures the key, `*` matches one segment, a final `**` the rest. */
  segments: string[]
  key: KeySource
  rank: Rank
  idempotent: boolean
}

/** A server of a team that owns keys; `host` is an IP address. */
export type BackendServer = {
  name: string
  host: string
  port: number
  zone: string
  /** Maximum number of concurrent requests. */
  slots: number
  /** Maximum number of TCP connections. */
  connections: number
}

/** A group of backend servers that share a key space. */
export type Service = {
  name: string
  /** Value of the HTTP Host header that selects the service, lower case, without port. */
  host: string
  /** Number of hash ranges in the key space, a power of two. */
  rangeCount: number
  /** Whether the backend servers refuse requests without a valid grant. */
  checksGrants: boolean
  /** Time a cold backend server takes to reach full speed, in milliseconds. */
  warmUpMs: number
  /** Number of lost routers or backend servers that an acknowledged assignment survives without the store. */
  toleratedLoss: number
  /** Maximum number of retries, as a share of requests, 0 to 1. */
  retryBudget: number
  routes: Route[]
  backends: BackendServer[]
}

/** The configuration of a team; `revision` is incremented by one with each accepted change. */
export type TeamDocument = {
  team: string
  revision: number
  ranks: ByRank<RankPolicy>
  services: Service[]
}
