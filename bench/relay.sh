#!/usr/bin/env bash
# Usage: relay.sh [streams|plain|all]. Measures the path entry, endpoint process, engine beside direct calls to the same
# stand-in (docs/design-relay.md). Builds nothing; stops every process that it started.
# Environment: BUILD (directory), SEEDS, STREAMS, TOKENS, TOKEN_MS, REQUESTS, BURST, CONNECTIONS, CORES (of the entry for
# plain requests), WARM_FACTOR (factor on the engine's step while the endpoint process leaves its cold start).
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
what=${1:-all}
case $what in streams | plain | all) ;; *) echo "relay.sh: found \"$what\", expected streams, plain or all" >&2; exit 2 ;; esac
bin=${BUILD:-$top/build}
work=$(mktemp -d)
declare -A pid
stop() {
    for each in "${pid[@]}"; do kill "$each" 2> /dev/null || true; done
    wait 2> /dev/null || true
    rm -rf "$work"
}
trap stop EXIT

# start NAME COMMAND…: returns when the process has printed its line "ready …".
start() {
    local name=$1
    shift
    "$@" > "$work/$name.out" 2> "$work/$name.log" &
    pid[$name]=$!
    for _ in $(seq 100); do
        grep -q '^ready ' "$work/$name.out" && return
        sleep 0.1
    done
    echo "relay.sh: $name printed no line \"ready …\" within 10 s:" >&2
    tail -5 "$work/$name.log" >&2
    exit 1
}
# address NAME KEY: the address that the process printed as KEY=ADDRESS.
address() { grep '^ready ' "$work/$1.out" | tr ' ' '\n' | sed -n "s/^$2=//p"; }

start store "$bin/tests/store"
# One engine serves both paths; a constant step makes the time of each token independent of the number of streams.
start engine "$bin/tests/model_engine" --step_ms "${TOKEN_MS:-66}" --step_growth_us 0 --prefill_us 0 --max_batch 1024
start service "$bin/tests/plain_service"
endpoint() {
    cat > "$work/$1.yaml" << END
role: endpoint
node: $1
data_centre: buda
region: kozep
listen: {http: "127.0.0.1:0", peers: "127.0.0.1:0"}
endpoint:
  labels: {app: $2}
  engine: $3
  max_concurrency: 400
  queue_length: 400
END
    start "$1" "$bin/src/bronzechuted" --settings "$work/$1.yaml"
}
endpoint model-endpoint iroda-nyelv "{kind: model, url: \"http://$(address engine http)\", models: [iroda-nyelv]}"
endpoint service-endpoint iroda-app "{kind: service, url: \"http://$(address service http)\"}"
cat > "$work/entry.yaml" << END
role: entry
node: entry
data_centre: buda
region: kozep
listen: {http: "127.0.0.1:0", admin: "127.0.0.1:0", peers: "127.0.0.1:0"}
store: {endpoints: ["http://$(address store http)"]}
entry:
  endpoints:
    - {name: model-endpoint, address: "$(address model-endpoint peers)"}
    - {name: service-endpoint, address: "$(address service-endpoint peers)"}
END
# The second entry has cores of its own choice for plain requests, and the same settings otherwise.
sed 's/^node: entry$/node: entry-two-cores/' "$work/entry.yaml" > "$work/entry-two-cores.yaml"
start entry "$bin/src/bronzechuted" --settings "$work/entry.yaml"
start entry-two-cores taskset -c "${CORES:-0,1}" "$bin/src/bronzechuted" --settings "$work/entry-two-cores.yaml"
cat > "$work/configuration.yaml" << 'END'
schema: 1
pools:
  - {name: drafting, kind: model, model: iroda-nyelv, labels: {service: iroda-nyelv}, members: app=iroda-nyelv}
  - {name: office, kind: service, labels: {service: iroda-app}, members: app=iroda-app}
classes:
  - {name: long, pools: service=iroda-nyelv, priority: 5, deadline_ms: 600000, first_token_ms: 60000}
accounts:
  # SHA-256 of the key "example-office-key"
  - {name: office, key_hashes: [0212b6b47c82c553859b39b42050ff6ab071551f7cba4925c35d33ef3d5ebe36], share: 1}
services:
  - {name: orders, prefix: /orders, pools: service=iroda-app, repeatable: [{method: GET, path: /}], deadline_ms: 10000}
data_centres:
  - {name: buda, state: in_service}
END
"$bin/src/bronzechute" --server "http://$(address entry admin)" apply "$work/configuration.yaml"
for name in entry entry-two-cores; do
    for _ in $(seq 100); do
        curl -sf "http://$(address "$name" http)/ready" > /dev/null && break
        sleep 0.1
    done
done
key='Authorization: Bearer example-office-key'
load() { echo "load average $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) cores"; }
pids() { # pids NAME…
    local list=
    for name; do list+=$name=${pid[$name]},; done
    echo "${list%,}"
}

streams() { # streams FLAG…
    "$bin/bench/relay_bench" --direct "http://$(address engine http)" --through "http://$(address entry http)" \
        --headers "$key" --token_ms "${TOKEN_MS:-66}" --seconds 60 "$@"
}
# Counters since the start, with the warm-up: tell refused streams from streams that lost tokens.
outcomes() {
    curl -s "http://$(address entry http)/metrics" | grep -E '^bronzechute_(requests|cut_streams)_total' || true
    curl -s "http://$(address model-endpoint http)/metrics" | grep '^bronzechute_refused_total' || true
}
limit() { curl -s "http://$(address model-endpoint http)/metrics" | sed -n 's/^bronzechute_limit //p'; }
slow() { curl -s -o /dev/null "http://$(address engine http)/standin/faults" -d "{\"slow_factor\": $1}"; }
# Takes the endpoint process past its cold start and its initial limit. Steps of exactly the target for the time between
# tokens miss it in about half of the answers, so the engine is faster meanwhile.
warm() {
    slow "${WARM_FACTOR:-0.5}"
    for count in 4 16 32 64 128 256 400 400 400 400 400 400; do
        [ "$(limit)" -ge "$((${STREAMS:-300}))" ] && break
        streams --streams "$count" --tokens 4 --ramp_ms 0 > "$work/warm.txt"
    done
    slow 1
    echo "limit of the endpoint process: $(limit)"
}
if [ "$what" != plain ]; then
    for seed in ${SEEDS:-1 2 3}; do
        warm
        load
        streams --streams "${STREAMS:-300}" --tokens "${TOKENS:-100}" --seed "$seed" \
            --pids "$(pids entry model-endpoint engine)"
        outcomes
    done
fi
if [ "$what" != streams ]; then
    curl -s -o /dev/null "http://$(address service http)/orders" -H 'Content-Type: application/json' \
        -d '{"text": "120 envelopes"}'
    for _ in ${SEEDS:-1 2 3}; do
        load
        "$bin/bench/relay_bench" --plain --direct "http://$(address service http)" \
            --through "http://$(address entry-two-cores http)" --headers "$key" --path /orders/1 \
            --requests "${REQUESTS:-2000}" --burst_requests "${BURST:-8000}" --connections "${CONNECTIONS:-8}" \
            --seconds 60 --pids "$(pids entry-two-cores service-endpoint service)"
    done
fi
load
