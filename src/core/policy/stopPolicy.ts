/** Time for which a stopping process takes all requests, in milliseconds: the balancer leaves it after two probes, a second apart. */
const leaveNoticeMs = 2600
/** Part of the time until the end that this notice may take, where the grace is short. */
const leaveNoticeShare = 0.5
/** Time before the end of the grace at which the process ends, in milliseconds: closing its ports and the exit itself. */
const endBeforeGraceMs = 400
/** Time kept between the deadline of a request and the end, in milliseconds: ticks, and the way of an answer to its caller. */
const lastAnswerMs = 200

/** Times of an orderly stop, in milliseconds of the steady clock. */
export type StopTimes = {
  /** Until when all requests are taken. */
  noticeEndsAt: number
  /** When the process ends at the latest. */
  endAt: number
}

/** Computes the times of a stop that is asked for now and has to be over in `graceMs` milliseconds. */
export function computeStopTimes (now: number, graceMs: number): StopTimes {
  const availableMs = Math.max(0, graceMs - endBeforeGraceMs)
  return { noticeEndsAt: now + Math.min(leaveNoticeMs, availableMs * leaveNoticeShare), endAt: now + availableMs }
}

/** Whether a request is sure to have its answer before the process ends. */
export function isDoneBeforeEnd (deadlineAt: number, endAt: number): boolean {
  return deadlineAt + lastAnswerMs <= endAt
}
