#!/bin/bash
# Starts a backend server, a pass-through proxy and the system as separate processes on
# loopback, measures the proxy and the system in turn, and ends the processes it started.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT
start () { "$@" > /dev/null 2>&1 & pids+=($!); }
cat > "$work/standin.ini" <<INI
[store]
listen = 127.0.0.1:7601
[log]
level = off
INI
cat > "$work/controller.ini" <<INI
[controller]
name = bench
listen = 127.0.0.1:7602
admin-listen = 127.0.0.1:7603
[store]
address = 127.0.0.1:7601
[tls]
insecure-loopback = true
[log]
level = off
INI
for n in 1 2 3; do
cat > "$work/router-$n.ini" <<INI
[router]
name = bench-$n
zone = zone-$n
listen = 127.0.0.1:76${n}4
peer-listen = 127.0.0.1:76${n}5
admin-listen = 127.0.0.1:76${n}6
[store]
address = 127.0.0.1:7601
[tls]
insecure-loopback = true
[log]
level = off
INI
done
cat > "$work/operator.ini" <<INI
[operator]
name = bench
[store]
address = 127.0.0.1:7601
[tls]
insecure-loopback = true
INI
cat > "$work/document.ini" <<INI
[team]
name = bench
[rank.lookup]
target-ms = 2000
floor = 0.4
deadline-ms = 5000
[rank.confirmation]
target-ms = 2000
floor = 0.3
deadline-ms = 5000
[rank.upload]
target-ms = 20000
floor = 0.1
deadline-ms = 60000
[service.bench]
host = bench.test
checks-grants = false
[route.get]
service = bench
method = GET
path = /items/{key}
rank = lookup
idempotent = true
[route.put]
service = bench
method = PUT
path = /photos/{key}
rank = upload
idempotent = false
[backend.one]
service = bench
address = 127.0.0.1:7651
zone = zone-1
slots = 64
connections = 130
INI
tsx=node_modules/.bin/tsx
start "$tsx" bench/bareBackend.ts 7651
start "$tsx" bench/bareProxy.ts 7652 7651
start node dist/bin/fulmarStandin.js --config "$work/standin.ini"
sleep 1
start node dist/bin/fulmarController.js --config "$work/controller.ini"
routers=()
for n in 1 2 3; do start node dist/bin/fulmarRouter.js --config "$work/router-$n.ini"; routers+=("${pids[-1]}"); done
sleep 1
ctl="node dist/bin/fulmarctl.js --config $work/operator.ini"
$ctl apply "$work/document.ini" > /dev/null
$ctl wait bench > /dev/null
sleep 2
loop () { "$tsx" bench/closedLoop.ts "$@"; }
for round in 1 2 3; do
  echo "round $round bare proxy     $(loop 7652 bench.test 64 4 0)"
  echo "round $round one hop        $(loop 7614 bench.test 64 4 0)"
  echo "round $round two hops       $(loop 7624 bench.test 64 4 0)"
done
echo "5 MB uploads bare proxy  $(loop 7652 bench.test 4 4 5000000)"
echo "5 MB uploads one hop     $(loop 7614 bench.test 4 4 5000000)"
echo "5 MB uploads two hops    $(loop 7624 bench.test 4 4 5000000)"
rate=${BENCH_RATE:-3000}
echo "at $rate/s bare proxy    $(loop 7652 bench.test 64 4 0 "$rate")"
echo "at $rate/s one hop       $(loop 7614 bench.test 64 4 0 "$rate")"
echo "at $rate/s two hops      $(loop 7624 bench.test 64 4 0 "$rate")"
ticks () { awk '{print $14 + $15}' "/proc/$1/stat"; }
before=$(ticks "${routers[2]}"); sleep 10; after=$(ticks "${routers[2]}")
echo "idle router: $(awk -v d=$((after - before)) 'BEGIN {printf "%.2f", d / 10}')% of a core, $(awk '/VmRSS/ {print $2}' "/proc/${routers[2]}/status") KB resident"
