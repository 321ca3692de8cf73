/** Builds a configuration like that of a small deployment: one service divided by key, two others. */
export function buildConfiguration (version) {
  const service = { health_path: '/health', max_conns: 130, protocol: 'h1', tls: false }
  return {
    version,
    routes: {
      reads: { host: 'shop.test', path_prefix: '/reads/', kind: 'safe', timeout_s: 1, target_latency_s: 0.25, priority: 0, service: 'catalog', max_attempts: 2 },
      orders: { host: 'shop.test', path_prefix: '/orders/', kind: 'unsafe', timeout_s: 1.2, target_latency_s: 0.3, priority: 1, service: 'bookings', max_attempts: 2 },
      photos: { host: 'shop.test', path_prefix: '/photos/', kind: 'upload', timeout_s: 1.5, target_latency_s: 0.8, priority: 2, service: 'bookings', max_attempts: 2 }
    },
    services: { catalog: { ...service, sharded: true, warmup_s: 2 }, bookings: service },
    limits: { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout_s: 3, idle_timeout_s: 15 }
  }
}
