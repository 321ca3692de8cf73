import * as z from 'zod'
import { defaultGraceMs, maxGraceMs } from '../core/limits.js'
import { addressAllowed, addressPattern, buildEnumField, buildBooleanField, buildNumberField, buildTextField, nameAllowed, namePattern } from './iniSchema.js'

const pathField = (description: string) => buildTextField(/^\S.{0,1000}$/, 'a file path', description)
const addressField = (description: string) => buildTextField(addressPattern, addressAllowed, description)

export const storeSchema = z.strictObject({ address: addressField('Address of the platform\'s store') })
const hostsSchema = z.strictObject({
  url: buildTextField(/^http:\/\/\S{1,500}$/, 'an http:// URL', 'URL of the platform\'s list of live and leaving hosts'),
  'poll-ms': buildNumberField(100, 60_000, 'Interval between reads of the list, in milliseconds').default(1000)
})
export const tlsSchema = z.strictObject({
  'insecure-loopback': buildBooleanField('Whether peer and admin ports run without TLS; loopback addresses only').default(false),
  ca: pathField('Certificate of the authority that signs the certificates of routers and operators, PEM').optional(),
  certificate: pathField('Certificate of this process for the name fulmar-router, PEM').optional(),
  key: pathField('Private key of this process, PEM').optional()
}).refine(tls => tls['insecure-loopback'] || (tls.ca !== undefined && tls.certificate !== undefined && tls.key !== undefined), {
  path: ['ca'],
  message: 'ca, certificate and key, or insecure-loopback = true'
})
export const logSchema = z.strictObject({
  level: buildEnumField(['debug', 'info', 'warn', 'error', 'off'], 'Lowest severity that is logged').default('info')
}).default({ level: 'info' })

/** Settings of fulmar-router. */
export const routerSettingsSchema = z.strictObject({
  router: z.strictObject({
    name: buildTextField(namePattern, nameAllowed, 'Unique name of this router'),
    zone: buildTextField(namePattern, nameAllowed, 'Availability zone of its host'),
    listen: addressField('Address for connections of callers'),
    'peer-listen': addressField('Address for connections of other routers'),
    'peer-address': addressField('Address under which other routers reach it; default peer-listen').optional(),
    'admin-listen': addressField('Address for operators, metrics collection and probes'),
    'grace-ms': buildNumberField(1000, maxGraceMs, 'Maximum time from the stop signal to the end of the process, in milliseconds').default(defaultGraceMs),
    'memory-mb': buildNumberField(32, 1_048_576, 'Memory available to this process, in MB; a part of it bounds what is held for callers').default(350),
    'max-descriptors': buildNumberField(64, 10_000_000, 'File descriptors available to this process; half of them bound the number of callers\' connections').default(4096)
  }),
  store: storeSchema,
  hosts: hostsSchema.optional(),
  tls: tlsSchema,
  log: logSchema
})

/** Settings of fulmar-controller. */
export const controllerSettingsSchema = z.strictObject({
  controller: z.strictObject({
    name: buildTextField(namePattern, nameAllowed, 'Unique name of this controller'),
    listen: addressField('Address for reports of routers'),
    'admin-listen': addressField('Address for operators, metrics collection and probes'),
    'memory-mb': buildNumberField(32, 1_048_576, 'Memory available to this process, in MB; a part of it bounds what is held for clients of its ports').default(350),
    'max-descriptors': buildNumberField(64, 10_000_000, 'File descriptors available to this process; a part of them bounds the number of connections').default(4096)
  }),
  store: storeSchema,
  hosts: hostsSchema.optional(),
  tls: tlsSchema,
  log: logSchema
})

/** Settings of fulmarctl. */
export const operatorSettingsSchema = z.strictObject({
  operator: z.strictObject({ name: buildTextField(namePattern, nameAllowed, 'Name under which changes are recorded') }),
  store: storeSchema,
  tls: tlsSchema
})

/** Settings of fulmar-standin. */
export const standinSettingsSchema = z.strictObject({
  store: z.strictObject({ listen: addressField('Address of the stand-in store') }).optional(),
  hosts: z.strictObject({ listen: addressField('Address of the stand-in host list') }).optional(),
  backend: z.record(z.string(), z.strictObject({
    listen: addressField('Address of the stand-in backend server'),
    'checks-grants': buildBooleanField('Whether it refuses requests without a valid grant'),
    slots: buildNumberField(1, 1024, 'Maximum number of concurrent requests').default(4),
    'work-ms': buildNumberField(0, 60_000, 'Execution time of a request, in milliseconds').default(2)
  })).default({}),
  control: z.strictObject({ listen: addressField('Address for switching faults on or off and reading records') }).optional(),
  log: logSchema
})

/** Settings of fulmar-load. */
export const loadSettingsSchema = z.strictObject({
  load: z.strictObject({
    routers: buildTextField(/^[0-9.:\][a-fA-F]+(,[0-9.:\][a-fA-F]+)*$/, 'IP:PORT, or several separated by commas', 'Caller addresses of routers; loopback only'),
    host: buildTextField(/^[a-z0-9][a-z0-9.-]{0,252}$/, 'a host name', 'Host header of the requests'),
    seconds: buildNumberField(1, 300, 'Duration, in seconds').default(10),
    lookups: buildNumberField(0, 20_000, 'Lookups per second').default(200),
    confirmations: buildNumberField(0, 20_000, 'Confirmations per second').default(50),
    uploads: buildNumberField(0, 1000, 'Uploads per second').default(5),
    'upload-bytes': buildNumberField(0, 100_000_000, 'Size of an upload, in bytes').default(100_000),
    keys: buildNumberField(1, 10_000_000, 'Number of different keys').default(1000),
    seed: buildNumberField(0, 2_147_483_647, 'Seed for the random choice of keys').default(1)
  })
})

/** Checked settings of fulmar-router. */
export type RouterSettings = z.output<typeof routerSettingsSchema>
/** Checked settings of fulmar-controller. */
export type ControllerSettings = z.output<typeof controllerSettingsSchema>
/** Checked settings of fulmarctl. */
export type OperatorSettings = z.output<typeof operatorSettingsSchema>
/** Checked settings of fulmar-standin. */
export type StandinSettings = z.output<typeof standinSettingsSchema>
/** Checked settings of fulmar-load. */
export type LoadSettings = z.output<typeof loadSettingsSchema>
/** Checked TLS settings. */
export type TlsSettings = z.output<typeof tlsSchema>
/** Checked settings of the host list. */
export type HostsSettings = z.output<typeof hostsSchema>
