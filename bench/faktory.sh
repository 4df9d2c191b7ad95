#!/bin/sh
# Measures the Faktory front on loopback: rates and times of push, fetch and ack by connections and store, and the memory
# that 100,000 waiting jobs take. Needs `make build` and compiled tests (for the stand-in of Redis); takes about two
# minutes, and the machine to itself. Usage: bench/faktory.sh [JOBS]
set -eu
cd "$(dirname "$0")/.."
jobs=${1:-20000}
port=17419
redis=16379
dir=$(mktemp -d)
stand=
server=
trap 'kill $stand $server 2>/dev/null || true; rm -rf "$dir"' EXIT

java -cp "target/test-classes:target/damsonslip.jar" damsonslip.testkit.RedisStandIn $redis 500 &
stand=$!

serve() { # STORE: starts the scheduler by the operator's file on this store
    sed -e "s#127.0.0.1:7419#127.0.0.1:$port#" -e "s#redis://127.0.0.1:6379#$1#" -e 's#127.0.0.1:7420##' \
        -e 's#name = "school-desk"#name = "bench-'"$2"'"#' deploy/faktory.toml > "$dir/f.toml"
    java -Xmx512m -jar target/damsonslip.jar serve "$dir/f.toml" 2> "$dir/log" &
    server=$!
    tries=0
    until grep -q "taken up" "$dir/log"; do
        tries=$((tries + 1)); [ $tries -lt 100 ] || { cat "$dir/log"; exit 1; }
        sleep 0.1
    done
}

leave() {
    kill $server
    wait $server 2>/dev/null || true
    server=
}

for store in memory redis://127.0.0.1:$redis; do
    for connections in 1 10 100; do
        echo "== store $store"
        serve $store $connections
        java -jar target/damsonslip.jar bench 127.0.0.1:$port --connections 10 --jobs 3000 > /dev/null # warms it up
        java -jar target/damsonslip.jar bench 127.0.0.1:$port --connections $connections --jobs "$jobs"
        leave
    done
    echo "== store $store, 100,000 waiting jobs"
    serve $store waiting
    java -jar target/damsonslip.jar bench 127.0.0.1:$port --connections 4 --jobs 100000 --bulk 500 --waiting
    jcmd $server GC.run > /dev/null 2>&1 || true
    jcmd $server GC.heap_info 2>/dev/null | sed -n 2p || true
    leave
done
