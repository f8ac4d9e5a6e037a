#!/usr/bin/env bash
# Usage: relay.sh [streams|plain|all]. Measures the path entry, endpoint process, engine beside direct calls to the same
# stand-in (docs/design-relay.md). Builds nothing; stops every process that it started.
# Environment: BUILD (directory), SEEDS, STREAMS, ENDPOINTS (endpoint processes in front of the one engine), TOKENS,
# TOKEN_MS, REQUESTS, BURST, CONNECTIONS, CORES (of the entry for plain requests), WARM_FACTOR (factor on the engine's
# step while the endpoint processes leave their cold start).
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
        grep -qs '^ready ' "$work/$name.out" && return
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
# All endpoint processes share the engine: one admits too few streams, and the direct path reaches the same engine.
models=()
for number in $(seq "${ENDPOINTS:-32}"); do
    models+=("model-$number")
    endpoint "model-$number" iroda-nyelv "{kind: model, url: \"http://$(address engine http)\", models: [iroda-nyelv]}"
done
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
$(for name in "${models[@]}"; do echo "    - {name: $name, address: \"$(address "$name" peers)\"}"; done)
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
# values NAME: the value of a metric of each endpoint process.
values() {
    for name in "${models[@]}"; do
        curl -s "http://$(address "$name" http)/metrics" | sed -n "s/^$1 //p"
    done
}
# Counters since the start, with the warm-up: tell refused streams from streams that lost tokens.
outcomes() {
    curl -s "http://$(address entry http)/metrics" | grep -E '^bronzechute_(requests|cut_streams)_total' || true
    for name in "${models[@]}"; do
        curl -s "http://$(address "$name" http)/metrics" | sed -n "s/^bronzechute_refused_total/$name &/p"
    done
}
slow() { curl -s -o /dev/null "http://$(address engine http)/standin/faults" -d "{\"slow_factor\": $1}"; }
# Takes the endpoint processes past their cold start, each to half more than an even share of the streams, because the
# entry chooses by reports that lag. Steps of exactly the target for the time between tokens miss it in about half of
# the answers, so the engine is faster meanwhile. Streams arrive evenly: many that wait for the next step at once would
# lower the limit.
warm() {
    local share=$((${STREAMS:-300} * 3 / 2 / ${#models[@]}))
    slow "${WARM_FACTOR:-0.5}"
    for count in 256 600 600 600 600 600; do
        [ "$(values bronzechute_limit | sort -n | head -1)" -ge "$share" ] && break
        streams --streams "$count" --tokens 30 --ramp_ms $((count * 5)) > "$work/warm.txt"
    done
    slow 1
    echo "limits of the endpoint processes: $(values bronzechute_limit | paste -sd " ")"
}
if [ "$what" != plain ]; then
    for seed in ${SEEDS:-1 2 3}; do
        warm
        load
        streams --streams "${STREAMS:-300}" --tokens "${TOKENS:-100}" --seed "$seed" \
            --pids "$(pids entry engine),$(pids "${models[@]}" | sed 's/model-[0-9]*=/endpoints=/g')"
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
