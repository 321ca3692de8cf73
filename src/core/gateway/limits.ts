/** Time between two ticks of the reducer, in milliseconds; bounds the timing error of all limits below. */
export const gatewayTickMs = 20

/** Time between two ticks of a host that neither grants keys nor holds waiting requests, in milliseconds; bounds how late a timeout is detected. */
export const idleTickMs = 100

/** Duration of a grant, in milliseconds: it outlasts the loss of the granting host (lease expiry, election and one renewal). */
export const holdMs = 2800
/** Time between two renewals of a grant, in milliseconds: a quarter of its duration. */
export const renewalMs = 700
/** Factor by which a backend server's clock may run slower: 2%, as the platform specifies. */
export const clockDrift = 1.02
/** Margin added to the duration of a grant before its keys may move, in milliseconds: delivery of a call between regions, with retransmission. */
export const deliveryMarginMs = 250
/** Time after which a grant that may have been delivered can't be in force any more, in milliseconds. */
export const maxHoldMs = holdMs * clockDrift + deliveryMarginMs
/** Timeout of a grant call, in milliseconds: many round trips between regions. */
export const grantTimeoutMs = 500
/** Timeout of a release call, in milliseconds: the owner answers only once its work in progress is done. */
export const releaseTimeoutMs = 2500
/** Time without an answer after which a grant or a lease renewal is sent again, in milliseconds: longer than a round trip between regions; any of these calls may be lost. */
export const resendMs = 160
/** Upper bound of that time when answers are late, in milliseconds: the time between two renewals. */
export const maxResendMs = renewalMs
/** Time without an answer after which a release is sent again, in milliseconds: it is answered when the work in progress ends, mostly sooner than this. */
export const releaseResendMs = 400
/** Time without an answer after which a write of the placement is sent again, in milliseconds: a slow store takes as long to answer. */
export const writeResendMs = 300
/** Time for which a host may renew grants without hearing from the granting host, in milliseconds: twice the longest time between two reports. */
export const renewalValidityMs = 2000
/** Time without a confirmed renewal after which the granting host renews a grant itself, in milliseconds: a renewal interval and the longest time between two reports. */
export const renewalTakeoverMs = 1700
/** The same time when the host that renews the grant has reported in between, in milliseconds: a renewal interval and three repetitions. */
export const reportedRenewalTakeoverMs = renewalMs + 3 * resendMs
/** Maximum number of owners whose grants one host renews for the granting host: bounds the host's work whatever the size of the fleet. */
export const maxRenewedOwners = 16
/** Maximum number of renewals that the granting host sends in one tick; more are due when other hosts are lost or it has just begun to grant. */
export const maxRenewalsPerTick = 16
/** Time between two rounds that assign owners to the hosts that renew their grants, in milliseconds. */
export const chooseRenewersMs = 200
/** Multiple of the mean number of owners that one host may be assigned: zones differ in their numbers of hosts and owners. */
export const renewerShareFactor = 2
/** Number of report intervals without a report after which a host is no longer relied on to renew grants. */
export const renewerTimeoutReports = 2.5
/** Lower bound of that time without a report, in milliseconds. */
export const minRenewerTimeoutMs = 1000
/** Time without a confirmed renewal after which an owner counts as unreachable, in milliseconds: two lost renewals. */
export const unreachableAfterMs = 1500
/** Time for which an unreachable owner gets no new keys, in milliseconds. */
export const unreachableOwnerAvoidanceMs = 4000

/** TTL of the granting host's lease, in milliseconds: short, since keys can't move until the lease of a lost host has expired. */
export const leadershipTtlMs = 1500
/** Share of the lease, from its last confirmed renewal, in which keys may move and connections may be opened to renew grants; the remainder covers delays of calls in flight. */
export const movingLeaseShare = 0.8
/** Time between two renewals of that lease, in milliseconds. */
export const leadershipRenewalMs = 400
/** Time for which the granting host keeps renewing grants without contact to the store, in milliseconds: the longest planned store outage. */
export const maxStoreOutageMs = 10_000
/** Time between two notices of a new granting host to those before it that may not have stopped, in milliseconds. */
export const predecessorNoticeMs = 250
/** Time without a report after which a host no longer counts as part of the fleet, in milliseconds: longer than a restart, and than most cuts between two hosts. */
export const forgottenHostMs = 60_000
/** Upper bound of the random delay before a host claims leadership, in milliseconds: hosts should not all claim at once. */
export const claimJitterMs = 120
/** Additional delay of a claim after a restore of the store by hosts that were not the granting host before it, in milliseconds: two reads of the whole store. */
export const restoredClaimDelayMs = 400
/** Processor share, in cores, from which a host claims leadership without an additional delay: granting takes about a third of a core for 150 owners. */
export const largeHostProcessorShare = 0.5
/** Additional delay of hosts with a smaller share, in milliseconds: larger hosts have claimed by then, if there are any. */
export const smallHostDelayMs = 180
/** Difference between the clocks, or delay of a tick, from which the process counts as paused, in milliseconds. */
export const pauseThresholdMs = 400

/** Time between two balancing rounds, in milliseconds. */
export const balanceMs = 300
/** Time constant of the burst rate of a key, which follows a sudden rise in requests, in milliseconds. */
export const burstTimeConstantMs = 400
/** Number of requests for a key within that time constant from which its burst rate is used. */
export const minBurstCount = 8
/** Minimum time for which a hot key stays with an owner that was chosen for its speed, in milliseconds. */
export const minHotKeyStayMs = 5000
/** Time between two rounds that move cold ranges to the owners of neighbouring ranges, in milliseconds. */
export const consolidationMs = 3000
/** Time for which confirmations of owners are batched before they are written to the store, in milliseconds; this delays only hosts without an exchange with the granting host. */
export const confirmationDelayMs = 300
/** Time constant of key rates, in milliseconds: a new hot key is detected within a second. */
export const rateTimeConstantMs = 1500
/** Maximum number of ranges for each backend server of a service; bounds the number of renewals. */
export const maxRangesPerOwner = 12
/** Multiple of the mean load above which an owner gives keys away. */
export const imbalanceLimit = 1.3
/** Load, as a share of its slots, above which an overloaded owner gives keys away in every balancing round. */
export const urgentLoadShare = 0.9
/** Load, as a share of its slots, above which it does so in the less frequent rounds that level mild imbalances. */
export const mildLoadShare = 0.45
/** Time between two such less frequent rounds, in milliseconds: each move wakes every host. */
export const mildRoundMs = 1500
/** Maximum number of moves whose calls are in progress at once: at 20 to 200 ms for each, several hundred moves a second. */
export const maxMovesInProgress = 64
/** Time after which an unanswered call of a move no longer counts as in progress, in milliseconds: the owner's work in progress has mostly ended by then. */
export const moveProgressTimeoutMs = 400
/** Time until the next planning round while moves wait for other moves to finish, in milliseconds. */
export const blockedRoundMs = 100
/** Maximum number of moves that one balancing round plans. */
export const maxMovesPerRound = 24
/** Number of requests that must have been counted before keys are moved for their load. */
export const minCountedRequests = 120
/** Time after the start of granting during which keys are not moved for their load, in milliseconds: queues built up in an outage have drained by then. */
export const firstBalanceDelayMs = 1500
/** Time without a new backend server of a service after which its keys are first divided, in milliseconds. */
export const settleMs = 800
/** Longest time for which the first division of keys waits for more backend servers, in milliseconds. */
export const maxSettleMs = 4000
/** Maximum number of merges of neighbouring ranges of one owner in one round. */
export const maxMergesPerRound = 4

/** Longest time for which a request waits for its key to get an owner, in milliseconds. */
export const ownerWaitMs = 400
/** Time for which a leaving backend server continues to serve, in milliseconds, unless the settings specify another. */
export const defaultDrainMs = 2000
/** Share of that time during which a leaving owner is still sent requests for its keys; the rest is left for requests in flight. */
export const drainSendShare = 0.5
/** Age from which load figures of the granting host are ignored, in milliseconds. */
export const loadMaxAgeMs = 2500
/** Shortest regular interval between two load reports, in milliseconds. */
export const minReportMs = 200
/** Growth of the requests in flight at one backend server that triggers an early report. */
export const earlyReportGrowth = 2
/** Shortest time between two reports when load grows, in milliseconds. */
export const earlyReportMs = 60
/** Report interval for each host of the fleet, in milliseconds; keeps the granting host's work constant in larger fleets. */
export const reportMsPerHost = 6
/** Regular interval between two load reports in fleets with collectors, except those of collectors, in milliseconds: hundreds of backend servers are in each answer. */
export const largeFleetReportMs = 500
/** Longest interval between two load reports, in milliseconds. */
export const maxReportMs = 1000
/** Typical age of relayed changes in addition to the report interval, in milliseconds: two pauses between watches, and the round trips of both watches. */
export const typicalRelayAgeMs = 550
/** Longest time for which a host relies on relayed changes, in milliseconds: half of the 3 s within which large fleets must know a change, less 200 ms to catch up. */
export const maxRelayFreshMs = 1300
/** Maximum number of messages a second by which the granting host publishes changes of owners to all hosts: these take a few percent of a core. */
export const maxChangeMessagesPerSecond = 1500
/** Shortest time between two publications of changes of owners, in milliseconds. */
export const minPublishMs = 20
/** Longest time between two such publications, in milliseconds. */
export const maxPublishMs = 1000
/** Longest time between two relays of the store's changes, in milliseconds: keeps the time until every host knows of a leaving backend server within 1 s. */
export const maxRelayMs = 400
/** Time for which a host's load report is used, in milliseconds. */
export const reportRetentionMs = 3000
/** Time for which a collector's report is used, in milliseconds: it reports several times a second, and its hosts report themselves once it is lost. */
export const collectedReportRetentionMs = 1000
/** Maximum number of different keys in one report; the remaining keys are aggregated into buckets. */
export const maxReportedKeys = 512

/** Number of requests in flight at a backend server allowed beyond its slots; its own queue takes 16, beyond which it hangs or resets connections. */
export const queueAllowance = 8
/** Service time assumed before any measurement, in milliseconds. */
export const assumedServiceMs = 100
/** Share of the time to a request's target that the expected time of its answer may take when the request would be queued. */
export const targetShare = 0.9
/** Time for which a backend server is avoided after it shed a request, in milliseconds. */
export const shedAvoidanceMs = 250
/** Time for which a backend server is avoided after a failed connection, in milliseconds. */
export const unreachableAvoidanceMs = 1000
/** Number of retries that each host keeps in reserve for each service. */
export const retryReserve = 4
/** Share of requests that may be retried; below the 0.2 that the operators allow, since load is uneven across hosts. */
export const retryRatio = 0.12
/**
 * Shortest store outage in which a registration can expire, in milliseconds: registrations expire after
 * three missed heartbeats, and two of them lie inside any shorter outage. The platform's heartbeat interval is 0.87 s.
 */
export const minExpiryOutageMs = 800
/** Grace period after the store is regained within which expired registrations may be renewed, in milliseconds. */
export const expiryGraceMs = 2200

/** Difference between the progress of the two clocks above which the process counts as suspended, in milliseconds: more than the time between reading one clock and the other. */
export const minSuspensionMs = 20
/** Time after a host lost the store or was suspended during which its lags are counted separately, in milliseconds: the platform counts the host as in contact again after 3 s. */
export const disruptionWindowMs = 3000
/** Time between two log lines on the lags of changes, in milliseconds. */
export const changeLagLogMs = 2000

/** Shortest pause between changes and the next watch, in milliseconds: registrations send heartbeats constantly, and those that arrive together cost one call. */
export const minWatchPauseMs = 100
/** Maximum number of watches a second of the whole fleet: half of the read calls that the platform grants to a large fleet. */
export const maxWatchesPerSecond = 3000

/** Number of removed backend servers whose latest report is kept: more than leave within the seconds by which a write may be late. */
export const maxRemovedReports = 500

/** Computes the time between two load reports of a host, in milliseconds: longer the more hosts report to the same one, and in fleets in which that are not all hosts, since they have collectors. */
export function computeReportMs (reporters: number, hosts = reporters): number {
  return Math.min(maxReportMs, Math.max(reporters < hosts ? largeFleetReportMs : minReportMs, reporters * reportMsPerHost))
}

/** Computes the time between two publications of changes of owners to all hosts, in milliseconds: longer in larger fleets. */
export function computePublishMs (hosts: number): number {
  return Math.min(maxPublishMs, Math.max(minPublishMs, hosts * 1000 / maxChangeMessagesPerSecond))
}

/** Computes the time between two relays of the store's changes to all hosts, in milliseconds. */
export function computeRelayMs (hosts: number): number {
  return Math.min(maxRelayMs, computePublishMs(hosts))
}

/** Computes for how long a host relies on changes relayed by the granting host, in milliseconds; after that it watches the store itself. */
export function computeRelayFreshMs (reporters: number, hosts = reporters): number {
  return Math.min(maxRelayFreshMs, computeReportMs(reporters, hosts) + typicalRelayAgeMs)
}

/** Computes the pause of a host between changes and its next watch, in milliseconds: longer in larger fleets, since all hosts may watch at once. */
export function computeWatchPauseMs (hosts: number): number {
  return Math.max(minWatchPauseMs, hosts * 1000 / maxWatchesPerSecond)
}
