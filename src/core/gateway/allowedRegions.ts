import type { Configuration, GatewayRoute } from './model.js'
import type { Backend, GatewayIdentity, GatewayRequest, GatewayState, GatewayWork } from './state.js'

/** Time after which a caller may retry when no backend server in the allowed regions can be used, in milliseconds: backend servers register every 0.87 s, so a server that starts is known by then. */
export const regionRetryMs = 1000

/**
 * Whether a request may be served by a backend server in view of the regions that its route lists. After a change of the
 * configuration, both the route under which the request arrived and the present route of the same name bind.
 */
export function isInAllowedRegion ({ identity }: GatewayState, request: GatewayRequest, backend: Backend): boolean {
  if (!isAllowedZone(identity, request.route, backend.zone)) return false
  return request.laterRoute === undefined || isAllowedZone(identity, request.laterRoute, backend.zone)
}

/** Whether a route allows an availability zone. A zone whose region is unknown is allowed only by routes that list no regions. */
function isAllowedZone ({ regionOf }: GatewayIdentity, { allowedRegions = [] }: GatewayRoute, zone: string): boolean {
  if (allowedRegions.length === 0) return true
  const region = regionOf.get(zone)
  return region !== undefined && allowedRegions.includes(region)
}

/** Binds the requests in progress to the regions of their routes in a new configuration. Those that still wait for a connection to a backend server in another region are not sent there. */
export function applyRegionChange (work: GatewayWork, configuration: Configuration): void {
  const { state } = work
  const bindingRoutes = new Map(configuration.routes.filter(route => (route.allowedRegions ?? []).length > 0).map(route => [route.name, route]))
  for (const request of state.requests.values()) {
    request.laterRoute = bindingRoutes.get(request.route.name)
    const backend = state.backends.get(request.backend ?? '')
    if (request.phase !== 'sent' || backend === undefined || isInAllowedRegion(state, request, backend)) continue
    work.effects.push({ kind: 'bound-opening', backend: backend.id, withinMs: 0, id: request.id })
  }
}
