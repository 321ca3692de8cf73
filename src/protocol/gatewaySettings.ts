import * as z from 'zod'
import { maxGraceMs } from '../core/limits.js'
import { addressAllowed, addressPattern, buildNumberField, buildTextField, nameAllowed, namePattern } from './iniSchema.js'
import { logSchema, storeSchema, tlsSchema } from './settings.js'

const addressField = (description: string) => buildTextField(addressPattern, addressAllowed, description)
const nameField = (description: string) => buildTextField(namePattern, nameAllowed, description)

/** Settings of fulmar-gateway. */
export const gatewaySettingsSchema = z.strictObject({
  gateway: z.strictObject({
    name: nameField('Name of this host; unique'),
    zone: nameField('Availability zone of this host'),
    region: nameField('Region of this host'),
    listen: addressField('Where callers connect'),
    'probe-listen': addressField('Where the balancer asks whether callers may be sent here'),
    'peer-listen': addressField('Where other hosts connect'),
    'admin-listen': addressField('Where operators and metrics connect'),
    'processor-share': buildNumberField(0.01, 1024, 'Cores that this process may use; small hosts leave granting to larger ones').default(1),
    'grace-ms': buildNumberField(1000, maxGraceMs, 'Time from the signal to stop to the end of the process, in milliseconds').default(6000),
    'drain-s': buildNumberField(0.1, 3600, 'Time for which a backend server goes on serving after it said that it leaves, in seconds').default(2)
  }),
  store: storeSchema,
  regions: z.record(z.string(), nameField('Region of each availability zone')),
  tls: tlsSchema.optional(),
  log: logSchema
})

/** Checked settings of fulmar-gateway. */
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>
