/** Time between two lease renewals of a router, in milliseconds. */
export const leaseRenewIntervalMs = 100
/** Validity of a router lease granted by a guardian, in milliseconds. */
export const leaseDurationMs = 400
/** Last part of a lease that its holder does not use, in milliseconds: allows for clock drift and send delay. */
export const leaseMarginMs = 40
/** Time without a lease after which a router that had one stops, in milliseconds. */
export const lostLeaseTimeoutMs = 10_000
/** Time between two grant renewals to a backend server, in milliseconds. */
export const grantRenewIntervalMs = 100
/** Validity of a grant to a backend server, in milliseconds of the backend server's clock. */
export const grantTtlMs = 350
/** Allowance for clock drift when using a grant and when waiting for it to expire, in milliseconds. */
export const grantMarginMs = 20
/** Time without an answer after which a backend server counts as lost, in milliseconds. */
export const backendSilenceTimeoutMs = 300
/** Number of consecutive refused connections after which a backend server counts as lost. */
export const refusedConnectionThreshold = 2
/** Time between two probes of a lost backend server, in milliseconds. */
export const lostBackendProbeIntervalMs = 500
/** Time after which an unanswered control message is sent again, in milliseconds. */
export const controlResendMs = 50
/** First delay before a request is routed again after a refusal without a hint, in milliseconds; doubles with each attempt. */
export const minRerouteDelayMs = 20
/** Maximum delay before a request is routed again, in milliseconds. */
export const maxRerouteDelayMs = 120
/** Maximum number of times that a request is routed. */
export const maxRouteAttempts = 500
/** Maximum number of times that a request is sent to backend servers. */
export const maxDispatchAttempts = 3
/** Time between two reports to the controller, in milliseconds. */
export const reportIntervalMs = 1000
/** Allowance for clock skew between hosts, in milliseconds. */
export const wallClockSkewMs = 100
/** Time constant of the moving average of slot usage by rank, in milliseconds. */
export const slotUsageWindowMs = 2000
/** Maximum delay of a report after a change of the journal, in milliseconds. */
export const maxJournalReportDelayMs = 20
/** Time without data after which a peer with outstanding requests is suspected to have failed, in milliseconds. */
export const peerSilenceTimeoutMs = 250
/** Number of retries that a service may make in a burst before its retry budget limits them. */
export const retryBurst = 10
/** Timeout for requests in flight to finish during a planned move, which blocks the unit, in milliseconds. */
export const moveDrainTimeoutMs = 100
/** Delay before a planned move that timed out is tried again, in milliseconds. */
export const moveRetryDelayMs = 500
/** Maximum number of hot keys in one report. */
export const maxReportedHotKeys = 20
/** Default time that a router has to stop, in milliseconds. */
export const defaultGraceMs = 60_000
/** Maximum time that a process may be given to stop, in milliseconds: limits how long others wait for a stopping one. */
export const maxGraceMs = 600_000
