#!/usr/bin/env bash
# Measures the resident memory of an idle agent, an idle entry, and an entry
# with 1,000 open streams, each as a process. Run from the repository's root
# after `cargo build --release`.
set -euo pipefail
bin=$PWD/target/release
dir=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
    wait
    rm -r "$dir"
}
trap finish EXIT
start() {
    "$@" > "$dir/log.${#pids[@]}" 2>&1 &
    pids+=($!)
}

cd examples/processes
sed 's/capacity: 32/capacity: 2000/' ledger-agent.yaml > "$dir/agent.yaml"
start "$bin/redwing-standin" platform --listen 127.0.0.1:7000
start "$bin/redwing-standin" service --listen 127.0.0.1:7200
sleep 0.3
"$bin/redwing" settings apply pools/bale-ledger pool-service.yaml --platform 127.0.0.1:7000
"$bin/redwing" settings apply teams/tema team-tema.yaml --platform 127.0.0.1:7000
start "$bin/redwing-agent" --settings "$dir/agent.yaml"
agent=${pids[-1]}
start "$bin/redwing-entry" --settings entry.yaml
entry=${pids[-1]}
sleep 0.5
./instances.sh
sleep 3
echo "idle agent: $(awk '/VmRSS/ {print $2, $3}' "/proc/$agent/status")"
"$bin/redwing-load" --case streams --entry 127.0.0.1:7100 --pid "$entry"
