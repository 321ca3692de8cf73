import type { ChannelCredentials } from '@grpc/grpc-js'
import type { RouterReport } from '../core/domain/control.js'
import { Metadata } from '@grpc/grpc-js'
import { ControlClient } from '../protocol/gen/peer.js'
import { encodeRouterReport } from '../protocol/peerCodec.js'
import { decodeLeadership } from './leadership.js'

/** Timeout of a report to the controller, in milliseconds. */
const reportTimeoutMs = 2000

/** Sends reports to the leading controller. */
export type ReportClient = {
  /** Sets the target from the leadership record of the store; undefined when no controller leads. */
  setTarget: (value: string | undefined) => void
  send: (report: RouterReport) => void
  close: () => void
}

/** Creates the client that reports to the controller; a lost report is superseded by the next. */
export function createReportClient (credentials: ChannelCredentials): ReportClient {
  let client: ControlClient | undefined
  let address = ''
  return {
    setTarget: value => {
      const next = value === undefined ? '' : decodeLeadership(value)?.address ?? ''
      if (next === address) return
      client?.close()
      address = next
      client = next === ''
        ? undefined
        : new ControlClient(next, credentials, {
          'grpc.ssl_target_name_override': 'fulmar-router',
          'grpc.default_authority': 'fulmar-router'
        })
    },
    send: report => {
      const options = { deadline: new Date(Date.now() + reportTimeoutMs) }
      client?.report(encodeRouterReport(report), new Metadata(), options, () => {})
    },
    close: () => {
      client?.close()
      client = undefined
    }
  }
}
