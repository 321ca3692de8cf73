/** Time between two lease renewals of a router, in milliseconds. */
export const renewIntervalMs = 100
/** Time a guardian's grant of a router lease lasts, in milliseconds. */
export const leaseDurationMs = 400
/** Part of a lease that its holder leaves unused for clock drift and send delay, in milliseconds. */
export const leaseMarginMs = 40
/** Time without a lease after which a router that had one stops, in milliseconds. */
export const stepDownMs = 10_000
/** Time between two grant renewals to a backend server, in milliseconds. */
export const grantIntervalMs = 100
/** Time a grant to a backend server lasts, in milliseconds of its clock. */
export const grantTtlMs = 350
/** Allowance for clock drift while a grant is waited out, in milliseconds. */
export const grantMarginMs = 20
/** Silence after which a backend server counts as lost, in milliseconds. */
export const lossAfterMs = 300
/** Refused connections in a row after which a backend server counts as lost. */
export const lossAfterRefusals = 2
/** Time between two probes of a lost backend server, in milliseconds. */
export const lostProbeIntervalMs = 500
/** Time between two sends of an unanswered control message, in milliseconds. */
export const controlResendMs = 50
/** First delay before a request is routed again when no hint came with the refusal; doubles, in milliseconds. */
export const rerouteDelayMs = 20
/** Longest delay before a request is routed again, in milliseconds. */
export const maxRerouteDelayMs = 120
/** Most times one request is routed. */
export const maxRouteAttempts = 500
/** Most times one request is sent to backend servers. */
export const maxDispatchAttempts = 3
/** Time between two reports to the controller, in milliseconds. */
export const reportIntervalMs = 1000
/** Allowance for different wall clocks of hosts, in milliseconds. */
export const wallClockSkewMs = 100
/** Time over which service shares are averaged, in milliseconds. */
export const shareWindowMs = 2000
/** Longest delay of a report after a change of the journal, in milliseconds. */
export const journalReportDelayMs = 20
/** Silence after which a peer with requests outstanding is suspected, in milliseconds. */
export const peerSilenceMs = 250
/** Resends that a service may make at once before its budget counts, in requests. */
export const retryBurst = 10
/** Time for which a planned move may block a unit while requests in flight end, in milliseconds. */
export const moveDrainMs = 100
/** Delay before a planned move that gave way is tried again, in milliseconds. */
export const moveRetryMs = 500
/** Hot keys that one report lists. */
export const reportedHotKeys = 20
/** Time that a router has to stop unless settings say otherwise, in milliseconds. */
export const defaultGraceMs = 60_000
/** Longest time that a program may be given for a stop, in milliseconds: bounds how long others wait for one that is stopping. */
export const longestGraceMs = 600_000
