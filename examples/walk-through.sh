#!/usr/bin/env bash
# Starts stand-ins for the platform, three runners and the service `payments`, and
# two nodes, all on loopback. Prints their process ids and ends them when it is
# interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
zinniawing=${ZINNIAWING:-target/release/zinniawing}
folder=$(mktemp -d)
pids=()

start() {
    local name=$1
    shift
    "$zinniawing" "$@" 2> "$folder/$name.log" &
    pids+=($!)
    echo "$name: process $!"
}

finish() {
    kill "${pids[@]}" 2> /dev/null || true
    rm -rf "$folder"
}
trap finish EXIT

vm() {
    printf '{"vm":"%s","address":"127.0.0.1:%s","data_centre":"tt-south-1","role":%s,"state":"live"}' "$@"
}
runner='{"runner":{"checks_fence":true}}'
service='{"service":{"service":"payments"}}'
echo "[$(vm r1 7201 "$runner"),$(vm r2 7202 "$runner"),$(vm r3 7203 "$runner"),$(vm payments-1 7301 "$service")]" \
    > "$folder/vms.yaml"

start platform stand-in platform --listen 127.0.0.1:7000 --vms "$folder/vms.yaml"
for number in 1 2 3; do
    start "runner r$number" stand-in runner --listen "127.0.0.1:720$number"
done
start payments stand-in service --listen 127.0.0.1:7301

start 'node n1' serve examples/kestrel-node.yaml
sed -e 's/^node: n1/node: n2/' -e 's/:7100/:7110/' -e 's/:7101/:7111/' \
    -e 's/^  peers: 127.0.0.1:7102/  peers: 127.0.0.1:7112/' \
    examples/kestrel-node.yaml > "$folder/n2.yaml"
start 'node n2' serve "$folder/n2.yaml"

echo "logs are in $folder; interrupt to end everything"
wait
