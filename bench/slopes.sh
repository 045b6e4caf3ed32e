#!/usr/bin/env bash
# Measures what control costs: real entries as processes against the stand-in platform, at three sizes of fleet and two
# counts of entries. Usage: bench/slopes.sh BUILD_FOLDER
set -eu
build=$(cd "$1" && pwd)
base=${SISKINPADDLE_BASE_PORT:-25100}
work=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    sleep 1 # The ports of killed processes are free only when the system has cleared up.
    pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT INT TERM

digest=$(printf 'slopes' | sha256sum | cut -d' ' -f1)

start_entries() {
    entries=()
    for i in $(seq "$1"); do
        zone=$(printf 'abcd' | cut -c$(((i - 1) % 4 + 1)))
        cat >"$work/e$i.json" <<EOF
{"id":"e$i","availability_zone":"$zone","log_level":"error",
"callers":{"address":"127.0.0.1","port":$((base + 100 + i))},"operators":{"address":"127.0.0.1","port":$((base + 200 + i))},
"peers":{"address":"127.0.0.1","port":$((base + 300 + i))},"platform":{"address":"127.0.0.1","port":$base},
"peer_key":"a-shared-key-of-at-least-32-characters"}
EOF
        "$build/main/siskinpaddled" --config "$work/e$i.json" 2>/dev/null &
        pids+=($!)
        entries+=("$!" $((base + 100 + i)) $((base + 200 + i)))
        disown
    done
}

start_platform() {
    "$build/tests/standin_platform" "$base" 500 "$1" $((base + 1)) &
    pids+=($!)
    disown
    for _ in $(seq 50); do
        if "$build/bench/bench_slopes" document "$1" "$2" "$digest" | "$build/demo/store_put" "$base" config 2>/dev/null; then
            return
        fi
        sleep 0.1
    done
}

echo "pure parts"
"$build/bench/bench_slopes" parts
sizes=("50 5 8" "200 10 8" "870 27 8" "870 27 24")
[ -z "${SISKINPADDLE_SIZE:-}" ] || sizes=("$SISKINPADDLE_SIZE")
for size in "${sizes[@]}"; do
    set -- $size
    echo "$1 VMs, $2 pools, $3 entries"
    start_platform "$1" "$2"
    start_entries "$3"
    "$build/bench/bench_slopes" measure "$base" "$1" "${entries[@]}"
    if [ "$1" = 870 ]; then
        for ((i = 0; i < ${#entries[@]}; i += 3)); do kill -KILL "${entries[i]}"; done
        "$build/bench/slow_platform" "$base" 200
        start_entries "$3"
        "$build/bench/bench_slopes" storm "$base" "$1" "${entries[@]}"
    fi
    stop_all
done
