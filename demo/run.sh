#!/usr/bin/env bash
# Starts a small deployment on loopback, runs the demonstration against it and ends everything it started, by id.
# Usage: demo/run.sh BUILD_FOLDER
set -eu
build=$(cd "$1" && pwd)
base=${SISKINPADDLE_BASE_PORT:-24100}
work=$(mktemp -d)
pids=()

finish() {
    code=$?
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    if [ "$code" -ne 0 ] && [ "${SISKINPADDLE_KEEP_LOGS:-}" != "" ]; then
        cp -r "$work" "$SISKINPADDLE_KEEP_LOGS"
    fi
    rm -rf "$work"
    exit "$code"
}
trap finish EXIT INT TERM

credential='association-credential-for-this-demonstration'
digest=$(printf '%s' "$credential" | sha256sum | cut -d' ' -f1)
rival=$(printf 'rival-credential' | sha256sum | cut -d' ' -f1)

"$build/tests/standin_platform" "$base" 1000 &
pids+=($!)
disown
echo "platform $base" >"$work/session"

document='{"members":{"association":{"credential_sha256":"'$digest'","admin":true},"rival":{"credential_sha256":"'$rival'"}},
"weights":{"buffer":1,"moves":0},
"teams":{"night":{"member":"association","cpu_millicores":64000}},
"pools":{"quotes":{"member":"association","promised":2,"size":3},"seats":{"member":"rival","promised":2,"size":3}},
"services":{"quotes":{"pool":"quotes"},"seats":{"pool":"seats"}},
"routes":{"quotes":{"prefix":"/quotes","service":"quotes","repeatable":"yes"},"seats":{"prefix":"/seats","service":"seats","repeatable":"no"}}}'
for _ in $(seq 50); do
    if printf '{"number":1,"document":%s,"history":[]}' "$document" |
        "$build/demo/store_put" "$base" config 2>/dev/null; then
        break
    fi
    sleep 0.1
done

for i in 1 2 3 4 5 6 7 8; do
    zone=$([ "$i" -le 4 ] && echo a || echo b)
    "$build/tests/standin_vm" "w-$i" "$zone" "rack-$zone$((i % 2))" $((base + 100 + i)) $((base + 200 + i)) "$base" \
        "$work/w-$i.log" 20 &
    pids+=($!)
    disown
    echo "vm w-$i $! $work/w-$i.log" >>"$work/session"
done

for i in 1 2 3 4; do
    zone=$([ "$i" -le 2 ] && echo a || echo b)
    cat >"$work/entry-$i.json" <<EOF
{"id":"entry-$zone$i","availability_zone":"$zone","log_level":"info",
"callers":{"address":"127.0.0.1","port":$((base + 10 + i))},
"operators":{"address":"127.0.0.1","port":$((base + 20 + i))},
"peers":{"address":"127.0.0.1","port":$((base + 30 + i))},
"platform":{"address":"127.0.0.1","port":$base},
"peer_key":"a-shared-key-of-at-least-32-characters"}
EOF
    "$build/main/siskinpaddled" --config "$work/entry-$i.json" 2>"$work/entry-$i.log" &
    pids+=($!)
    disown
    echo "entry $((base + 10 + i)) $((base + 20 + i)) $!" >>"$work/session"
done

"$build/demo/demo_session" "$work/session"
