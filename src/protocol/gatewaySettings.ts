import * as z from 'zod'
import { maxGraceMs } from '../core/limits.js'
import { addressAllowed, addressPattern, buildNumberField, buildTextField, nameAllowed, namePattern } from './iniSchema.js'
import { logSchema, storeSchema, tlsSchema } from './settings.js'

const addressField = (description: string) => buildTextField(addressPattern, addressAllowed, description)
const nameField = (description: string) => buildTextField(namePattern, nameAllowed, description)

/** Settings of fulmar-gateway. */
export const gatewaySettingsSchema = z.strictObject({
  gateway: z.strictObject({
    name: nameField('Unique name of this host'),
    zone: nameField('Availability zone of this host'),
    region: nameField('Region of this host'),
    listen: addressField('Address for connections of callers'),
    'probe-listen': addressField('Address for readiness probes of the load balancer'),
    'peer-listen': addressField('Address for connections of other hosts'),
    'admin-listen': addressField('Address for operators and metrics collection'),
    'processor-share': buildNumberField(0.01, 1024, 'Number of CPU cores that this process may use; hosts with fewer cores leave granting to hosts with more').default(1),
    'link-mbps': buildNumberField(0.1, 1_000_000, 'Bandwidth of the link of this host, in Mbit/s; hosts with a small link leave granting and collecting to others').default(1000),
    'grace-ms': buildNumberField(1000, maxGraceMs, 'Maximum time from the stop signal to the end of the process, in milliseconds').default(6000),
    'drain-s': buildNumberField(0.1, 3600, 'Time for which a backend server continues to serve requests after it announced that it is leaving, in seconds').default(2),
    'evacuation-s': buildNumberField(0.1, 3600, 'Time within which the last request is sent to an availability zone that operators evacuate, in seconds').default(5),
    'cold-requests-factor': buildNumberField(0, 100, 'Multiple of the requests a second tolerated by a cold backend server that it may get in any second').default(1),
    'cold-requests-extra': buildNumberField(0, 100_000, 'Requests that a cold backend server may get in any second beyond that multiple').default(0),
    'memory-mb': buildNumberField(32, 1_048_576, 'Memory available to this process, in MB; what it holds for callers and backend servers is bounded by a part of it').default(350),
    'max-descriptors': buildNumberField(64, 10_000_000, 'File descriptors available to this process; the number of callers\' connections is bounded by a part of it').default(4096)
  }),
  store: storeSchema,
  regions: z.record(z.string(), nameField('Region of each availability zone')),
  tls: tlsSchema.optional(),
  log: logSchema
})

/** Checked settings of fulmar-gateway. */
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>
