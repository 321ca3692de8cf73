/** A share of a route's requests that goes to one service. */
export type RouteTarget = { service: string, weight: number }

/** A route: which requests it matches, the services they go to, and their timeouts and retries. */
export type GatewayRoute = {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  targets: RouteTarget[]
  /** Whether a request may safely run more than once. */
  idempotent: boolean
  /** Longest time for which a caller is kept waiting, in milliseconds. */
  timeoutMs: number
  /** Target response time, in milliseconds: an answer within it is worth most. */
  targetMs: number
  /** Maximum number of attempts to send one request to a backend server. */
  maxAttempts: number
  /** Priority of the requests; 0 is the highest. */
  priority: number
  /** Regions whose backend servers may serve the requests; all regions if empty or undefined. */
  allowedRegions?: readonly string[] | undefined
}

/** Configuration of a service. */
export type GatewayService = {
  name: string
  /** Whether its keys are divided among its backend servers by grants. */
  sharded: boolean
  /** Time for which a key is served slowly after it moved without a handover token, in milliseconds. */
  warmupMs: number
  /** Maximum number of connections that each of its backend servers accepts from all hosts together, if there is one. */
  maxConnections?: number | undefined
  /** Time for which a backend server is cold after it starts under load, in milliseconds. */
  coldStartMs?: number | undefined
  /** Requests a second that a cold backend server tolerates from all hosts together; undefined if there is no limit. */
  coldRequestsPerSecond?: number | undefined
}

/** Limits on the size and duration of callers' requests. */
export type CallerLimits = { maxHeaderBytes: number, maxBodyBytes: number, headerTimeoutMs: number, idleTimeoutMs: number }

/** One complete version of the operators' configuration. */
export type Configuration = {
  version: number
  routes: GatewayRoute[]
  services: Map<string, GatewayService>
  limits: CallerLimits
}

/** Registration that a backend server writes to the store. */
export type BackendRegistration = {
  id: string
  /** Unix time at which this instance of the server started, in milliseconds; an instance keeps no state of earlier ones. */
  startedAt: number
  service: string
  address: string
  zone: string
  /** Number of requests that it runs concurrently. */
  slots: number
  leaving: boolean
  /** Remaining time for which it is slow after its start, in milliseconds. */
  slowForMs: number
  /** Sequence number of this report, growing with each report of the instance; undefined when the report carries none. */
  report?: number | undefined
}

/** Load that a backend server reports with an answer. */
export type ReportedLoad = {
  /** Requests that it runs. */
  running: number
  /** Requests in its queue. */
  waiting: number
  slots: number
  /** Factor by which work takes longer than usual on its machine at this moment; 1 if it is as usual. */
  slowdown: number
}

/** What a backend server says about itself with an answer; undefined members were not stated. */
export type BackendSignals = {
  /** Whether it is leaving. */
  isLeaving: boolean
  /** Time for which it asks this host for no further requests, in milliseconds; only with an answer that declares that the request did not run. */
  pauseMs: number | undefined
  /** Remaining time for which it is cold, in milliseconds. */
  coldMs: number | undefined
  load: ReportedLoad | undefined
}

/** One instance of a backend server, as an owner of keys. */
export type KeyOwner = { id: string, startedAt: number, address: string }

/** Keys from `from` to `to`, both inclusive, with their owner. */
export type KeyRange = {
  from: number
  to: number
  owner: KeyOwner
  /** Fencing token of the owner's grant; it increases with each change of owner. */
  fence: number
  /** `moving` until the owner has confirmed its grant; no request for the keys is sent until then. */
  phase: 'held' | 'moving'
  /** Previous owner, while its grant may still be in force. */
  previous: KeyOwner | undefined
}

/** Estimates that a starting host uses until it has measurements of its own. */
export type FleetEstimates = {
  /** Number of hosts that report load. */
  hosts: number
  /** Time for which one request occupies a slot of an owner, by the owner's id, in milliseconds. */
  serviceMs: Map<string, number>
}

/**
 * Assignment of keys to owners: the record that the granting host keeps in the store. `restores`: how often the store had
 * been restored from an older copy when the record was written; 0 if undefined.
 */
export type Placement = { nextFence: number, services: Map<string, KeyRange[]>, memory: FleetEstimates, restores?: number | undefined }

/** Number of keys of a sharded service; keys are 0 to this less one. */
export const keyCount = 65_536

/** The host that currently grants keys to backend servers. */
export type GrantingHost = { host: string, address: string }

/** The last granting host, and the earlier ones that may not have stopped granting when it wrote this record. */
export type GrantingRecord = GrantingHost & { unsettled: GrantingHost[] }

/**
 * Version of a placement: the revision of its record in the store, and the number of owners'
 * confirmations that the granting host has published since then.
 */
export type PlacementVersion = { revision: number, confirmations: number }

/** Delta between two versions of the placement; without a base, `changes` are the whole placement. */
export type PlacementChange = {
  base: PlacementVersion | undefined
  next: PlacementVersion
  nextFence: number
  changes: Array<{ service: string, range: KeyRange }>
}
