/**
 * Entry point of the core: initial states, reducers, events and effects. The core
 * does no I/O and reads no clock; docs/DESIGN.md shows how to use it.
 */
export { buildRouterState } from './router/routerState.js'
export { reduceRouter } from './router/reduceRouter.js'
export { buildDefaultRules } from './router/defaultRules.js'
export type { RouterEvent } from './router/routerEvents.js'
export type { RouterEffect } from './router/routerEffects.js'
export type { RouterRules } from './router/rules.js'
export type { RouterState } from './router/routerState.js'
export { buildControllerState } from './controller/controllerState.js'
export { reduceController } from './controller/reduceController.js'
export { buildControllerRules } from './controller/rules.js'
export type { ControllerEffect, ControllerEvent, ControllerState } from './controller/controllerState.js'
