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
    'grace-ms': buildNumberField(1000, maxGraceMs, 'Maximum time from the stop signal to the end of the process, in milliseconds').default(6000),
    'drain-s': buildNumberField(0.1, 3600, 'Time for which a backend server continues to serve requests after it announced that it is leaving, in seconds').default(2)
  }),
  store: storeSchema,
  regions: z.record(z.string(), nameField('Region of each availability zone')),
  tls: tlsSchema.optional(),
  log: logSchema
})

/** Checked settings of fulmar-gateway. */
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>
