#!/usr/bin/env bash
# Builds, starts a small system of two data centres on this machine, books an order and streams a completion through
# it. The system runs until Enter is pressed; with --once it stops after the requests.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
example=$top/examples/two_data_centres
bin=$top/build
"$top/utilities/setup.sh"
cmake -S "$top" -B "$bin" -G Ninja > /dev/null
# Tests and benches are not needed here and take most of the time of a first build.
cmake --build "$bin" --target bronzechuted bronzechute store model_engine plain_service
pids=()
stop() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
}
trap stop EXIT
start() { "$@" > /dev/null 2>&1 & pids+=($!); }

start "$bin/tests/store" --port 18379
for place in buda:181 pest:182; do
    base=${place#*:}
    start "$bin/tests/model_engine" --port "${base}01"
    start "$bin/tests/plain_service" --port "${base}02"
    start "$bin/src/bronzechuted" --settings "$example/${place%:*}-model.yaml"
    start "$bin/src/bronzechuted" --settings "$example/${place%:*}-office.yaml"
    start "$bin/src/bronzechuted" --settings "$example/${place%:*}-entry.yaml"
done
tool=("$bin/src/bronzechute" --server http://127.0.0.1:18192)
for _ in $(seq 100); do "${tool[@]}" status > /dev/null 2>&1 && break; sleep 0.1; done
"${tool[@]}" apply "$example/configuration.yaml"
# The entry is ready with one usable endpoint; the requests below need the model's and the office's.
for _ in $(seq 100); do
    curl -sf http://127.0.0.1:18190/ready | grep -q '"usable_endpoints":4' && break
    sleep 0.1
done

echo; echo "A streamed completion:"
curl -sN http://127.0.0.1:18190/v1/chat/completions -H 'Authorization: Bearer example-office-key' \
    -d '{"model": "iroda-nyelv", "stream": true, "max_tokens": 5, "messages": [{"role": "user", "content": "Tisztelt"}]}'
echo; echo "A booked order:"
curl -s -i http://127.0.0.1:18190/orders -H 'Authorization: Bearer example-office-key' \
    -H 'Content-Type: application/json' -H "Idempotency-Key: example-$$-$RANDOM" -d '{"text": "120 envelopes, wedding"}'
echo; echo "Status:"
"${tool[@]}" status
[ "${1:-}" = --once ] && exit 0
echo "Entries listen on http://127.0.0.1:18190 (buda) and http://127.0.0.1:18290 (pest). Press Enter to stop."
read -r _
