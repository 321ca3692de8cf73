/** Time between two ticks of the reducer, in milliseconds; bounds the error of all times below. */
export const gatewayTickMs = 20

/** Time between two ticks of a host that neither grants nor lets requests wait, in milliseconds; bounds how late a timeout is noticed. */
export const quietTickMs = 100

/** Time a grant holds, in milliseconds: outlasts the loss of the granting host (lease, election and one renewal). */
export const holdMs = 2800
/** Time between two renewals of a grant, in milliseconds: a quarter of the hold. */
export const renewalMs = 700
/** How much slower a backend server's clock may run: 2%, as the platform states. */
export const clockDrift = 1.02
/** Added to a hold before its keys go on, in milliseconds: delivery of a call between regions, with retransmission. */
export const deliveryMarginMs = 250
/** Time after which a grant that may have arrived can't be in force any more, in milliseconds. */
export const longestHoldMs = holdMs * clockDrift + deliveryMarginMs
/** Longest wait for the answer to a grant, in milliseconds: many round trips between regions. */
export const grantTimeoutMs = 500
/** Longest wait for the answer to a release, in milliseconds: it ends with the work in progress. */
export const releaseTimeoutMs = 2500
/** Time without an answer after which a grant or a renewal of the lease is sent again, in milliseconds: beyond a round trip between regions; any of them may be lost. */
export const askAgainMs = 160
/** The same at most, when answers come late: the time between two renewals. */
export const longestAskAgainMs = renewalMs
/** The same for a release, in milliseconds: it is answered when the work in progress ends, mostly sooner. */
export const releaseAgainMs = 400
/** The same for a write of the placement, in milliseconds: a slow store takes as long. */
export const writeAgainMs = 300
/** Time for which a host may renew grants without word from the granting host, in milliseconds: two of the longest times between reports. */
export const renewalValidityMs = 2000
/** Time without a confirmed renewal after which the granting host renews a grant itself, in milliseconds: a renewal and the longest time between reports. */
export const unrenewedMs = 1700
/** The same when the host that renews it has reported since, in milliseconds: a renewal and three repetitions. */
export const suspectRenewalMs = renewalMs + 3 * askAgainMs
/** Most owners whose grants one host renews for the granting host: bounds its work whatever the size of the fleet. */
export const maxRenewedOwners = 16
/** Most renewals that the granting host sends in one tick; more are due when other hosts have gone or it has just begun to grant. */
export const renewalsPerTick = 16
/** Time between two rounds in which renewers are chosen, in milliseconds. */
export const chooseRenewersMs = 200
/** How many times the mean number of owners one host may get: zones differ in their hosts and owners. */
export const renewerUnevenness = 2
/** Intervals between reports after which a host that is silent renews nothing any more for the granting host. */
export const renewerReports = 2.5
/** Shortest such silence, in milliseconds. */
export const shortestRenewerSilenceMs = 1000
/** Time without a confirmed renewal after which an owner counts as unreachable, in milliseconds: two renewals lost. */
export const unreachableAfterMs = 1500
/** Time an unreachable owner gets no new keys, in milliseconds. */
export const avoidanceMs = 4000

/** Lease of the granting host, in milliseconds: short, since keys can't move while it runs out. */
export const leadershipTtlMs = 1500
/** Time between two renewals of that lease, in milliseconds. */
export const leadershipRenewalMs = 400
/** Time the granting host goes on renewing grants without word from the store, in milliseconds: longest outage planned for. */
export const unconfirmedLimitMs = 10_000
/** Longest delay before a host claims leadership, in milliseconds; spreads the claims. */
export const claimSpreadMs = 120
/** Share of a core from which a host claims without delay: granting takes about a third of a core for 150 owners. */
export const ampleProcessorShare = 0.5
/** Delay of smaller hosts, in milliseconds: larger ones have claimed by then, if there are any. */
export const smallHostDelayMs = 180
/** Difference between clocks, or a late tick, that counts as a pause of the process, in milliseconds. */
export const pauseMs = 400

/** Time between two rounds of balancing, in milliseconds. */
export const balanceMs = 300
/** Time constant of the rate of a key that is suddenly busy, in milliseconds. */
export const suddenMemoryMs = 400
/** Requests for a key within that time from which its sudden rate counts. */
export const suddenCount = 8
/** Time for which a hot key stays with an owner that was chosen for its speed, in milliseconds. */
export const hotKeyStayMs = 5000
/** Time between two rounds in which cold ranges go to their neighbours, in milliseconds. */
export const tidyMs = 3000
/** Time for which confirmations are collected before they are written, in milliseconds; only hosts without the exchange wait for them. */
export const confirmationDelayMs = 300
/** Time constant of key rates, in milliseconds: follows a new hot key within a second. */
export const rateMemoryMs = 1500
/** Most ranges for each backend server of a service; bounds the renewals. */
export const maxRangesPerOwner = 12
/** Load above the mean at which an owner gives keys away. */
export const imbalanceLimit = 1.3
/** Share of its slots from which an overloaded owner gives keys away at once. */
export const urgentLoad = 0.9
/** Share of its slots from which it does so in the slower rounds that level mild differences. */
export const mildLoad = 0.45
/** Time between two such rounds, in milliseconds: each move wakes every host. */
export const mildRoundMs = 1500
/** Moves whose calls are in progress at once, at most: at 20 to 200 ms for each, several hundred a second. */
export const movesInProgress = 64
/** Time after which an unanswered call of a move no longer counts as in progress, in milliseconds: work in progress has mostly ended by then. */
export const moveAnswerMs = 400
/** Time to the next round of planning while moves wait for others to finish, in milliseconds. */
export const crowdedRoundMs = 100
/** Most moves that one round of balancing plans. */
export const movesPerRound = 24
/** Requests that must have been counted before keys move for their load. */
export const leastCounted = 120
/** Time after the start of granting in which keys don't move for their load, in milliseconds: the queues of an outage are gone by then. */
export const firstCountMs = 1500
/** Time without a new backend server of a service after which its keys are first divided, in milliseconds. */
export const settleMs = 800
/** Longest time that the first division waits for more backend servers, in milliseconds. */
export const longestSettleMs = 4000
/** Neighbouring ranges of one owner that one round joins at most. */
export const joinsPerRound = 4

/** Longest time a request waits for its key's owner to change, in milliseconds. */
export const ownerWaitMs = 400
/** Time for which a leaving backend server goes on serving, in milliseconds, unless the settings say otherwise. */
export const defaultDrainMs = 2000
/** Part of that time in which a leaving owner is still sent requests for its keys; the rest is for requests on their way. */
export const usedDrainShare = 0.5
/** Time without word from the granting host after which its load figures are ignored, in milliseconds. */
export const loadMaxAgeMs = 2500
/** Shortest time between two load reports, in milliseconds. */
export const reportMs = 200
/** Growth of the requests in flight at one backend server that is reported early. */
export const earlyGrowth = 2
/** Shortest time between two reports when load grows, in milliseconds. */
export const earlyReportMs = 60
/** Time between reports for each host of the fleet, in milliseconds; keeps the granting host's work even. */
export const reportMsPerHost = 6
/** Longest time between two load reports, in milliseconds. */
export const maxReportMs = 1000
/** Age of what a host was told that is usual beside the time between two reports, in milliseconds: two waits of a watch, and the round trips of both. */
export const usualToldAgeMs = 550
/** Longest time for which a host relies on what it was told, in milliseconds: half of the 3 s in which large fleets have to know a change, less 200 ms to catch up. */
export const longestTrustedMs = 1300
/** Messages a second that the granting host sends at most to tell all others of changes of owners: some percent of a core. */
export const changeMessagesPerSecond = 1500
/** Shortest time between two changes of owners that are told, in milliseconds. */
export const publishMs = 20
/** Longest time between two of them, in milliseconds. */
export const maxPublishMs = 1000
/** Longest time between two relays of the store's changes, in milliseconds: a backend server that leaves is known within 1 s. */
export const maxRelayMs = 400
/** Time for which a host's report counts, in milliseconds. */
export const keptReportMs = 3000
/** Most different keys in one report; the rest is summed into buckets. */
export const maxReportedKeys = 512

/** Requests in flight at a backend server beyond its slots; its own queue takes 16 and then hangs or resets. */
export const queueAllowance = 8
/** Service time assumed before any answer, in milliseconds. */
export const assumedServiceMs = 100
/** Share of the time to a request's target that its expected answer may take. */
export const targetShare = 0.9
/** Time a backend server is avoided after it shed a request, in milliseconds. */
export const shedAvoidanceMs = 250
/** Time a backend server is avoided after a failed connection, in milliseconds. */
export const unreachableAvoidanceMs = 1000
/** Retries kept in reserve by each host. */
export const retryReserve = 4
/** Share of requests that may be retried; below the 0.2 that the operators allow, for unequal hosts. */
export const retryRatio = 0.12
/**
 * Shortest outage of the store in which a registration can lapse, in milliseconds: registrations lapse after
 * three heartbeats of silence, and two of them lie inside any shorter outage. The platform's heartbeat is 0.87 s.
 */
export const shortestLapseMs = 800
/** Time after the store's return in which lapsed registrations may come back, in milliseconds. */
export const lapseGraceMs = 2200

/** Difference between the progress of two clocks that shows that the process stood still, in milliseconds: beyond the time between two readings of them. */
export const clockNoiseMs = 20
/** Time after a disturbance of its own in which a host's lags are counted apart, in milliseconds: the platform counts it as in touch after 3 s. */
export const disturbedMs = 3000
/** Time between two log lines on how late changes came into force, in milliseconds. */
export const changeLagsMs = 2000

/** Shortest pause after changes before the next watch, in milliseconds: heartbeats of registrations come all the time, and those that come together cost one call. */
export const gatherMs = 100
/** Watches a second of a whole fleet at most: half of the reading calls that the platform grants to a large one. */
export const watchesPerSecond = 3000

/** Backend servers that have gone whose last report is remembered: more than leave in the seconds by which a write may be late. */
export const maxGoneReports = 500

/** Computes the time between two reports of a host, in milliseconds: longer in larger fleets. */
export function computeReportMs (hosts: number): number {
  return Math.min(maxReportMs, Math.max(reportMs, hosts * reportMsPerHost))
}

/** Computes the time between two changes of owners that all hosts are told, in milliseconds: longer in larger fleets. */
export function computePublishMs (hosts: number): number {
  return Math.min(maxPublishMs, Math.max(publishMs, hosts * 1000 / changeMessagesPerSecond))
}

/** Computes the time between two relays of the store's changes to all hosts, in milliseconds. */
export function computeRelayMs (hosts: number): number {
  return Math.min(maxRelayMs, computePublishMs(hosts))
}

/** Computes for how long a host relies on what the granting host knew of the store, in milliseconds; then it watches the store itself. */
export function computeTrustedMs (hosts: number): number {
  return Math.min(longestTrustedMs, computeReportMs(hosts) + usualToldAgeMs)
}

/** Computes the time between two watches of a host after changes, in milliseconds: longer in larger fleets, all of whose hosts may watch at once. */
export function computeGatherMs (hosts: number): number {
  return Math.max(gatherMs, hosts * 1000 / watchesPerSecond)
}
