import type * as z from 'zod'
import type { TimerService } from '../runtime/timerService.js'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { systemClock } from '../runtime/clock.js'
import { createTimerService } from '../runtime/timerService.js'
import { loadSettings } from './processSetup.js'

/** Settings and timers of a daemon. */
export type DaemonSetup<T> = { settings: T, timers: TimerService }

/** Log levels allowed in settings. */
export type SettingsLevel = 'debug' | 'info' | 'warn' | 'error' | 'off'

/** Parses the command line of a daemon, reads its settings and creates its timers. */
export async function loadDaemonSetup<T> (name: string, usage: string, schema: z.ZodType<T>): Promise<DaemonSetup<T>> {
  const options = await yargs(hideBin(process.argv))
    .scriptName(name)
    .usage(`$0 --config FILE.ini\n\n${usage}`)
    .option('config', { type: 'string', demandOption: true, describe: 'settings in INI; see docs/CONFIGURATION.md' })
    .strict()
    .parse()
  return { settings: loadSettings(options.config, schema), timers: createTimerService(systemClock) }
}
