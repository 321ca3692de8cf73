/** Share of the process's time that producing answers for operators may take in the long run. */
const answerShare = 0.25

/** Computes the pause after an answer for operators that took `answerMs`, in milliseconds. */
export function computeAnswerPauseMs (answerMs: number): number {
  return Math.max(0, answerMs) * (1 - answerShare) / answerShare
}
