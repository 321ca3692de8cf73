#!/bin/sh
# Builds the stand-ins that the scripts of review/ start: the project's own store, bundled into target/review/.
# Run it after the build of deploy/system.toml. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
npx --no-install esbuild tests/support/platform/kvStandin.ts --bundle --platform=node --target=node20 --format=esm \
  --log-level=warning --outfile=target/review/kvStandin.mjs
