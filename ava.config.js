export default {
  files: ['tests/**/*.spec.ts'],
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx'],
  workerThreads: false,
  timeout: '3m',
  concurrency: 1
}
