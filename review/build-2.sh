#!/bin/sh
# Checks the stand-ins and cases of review/6 to review/10. They are plain modules of Node.js without dependencies, so nothing else
# has to be built; the gateways are built by the build command of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
for file in support-2/*.mjs [0-9]*/case.mjs; do
  node --check "$file"
done
