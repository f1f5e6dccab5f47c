#!/usr/bin/env bash
# Starts three hosts, two stand-in engines and a stand-in service on loopback,
# serves one program end to end, and stops all processes. State and logs stay in
# the folder that the script prints, or in the one given as the first argument.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-$(mktemp -d /tmp/zinniapond-demo.XXXXXX)}
mkdir -p "$folder"
folder=$(cd "$folder" && pwd)
go build -o "$folder/zinniapond" ./cmd/zinniapond
cd "$folder"

pids=()
stop() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
}
trap stop EXIT

sha() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
head -c 32 /dev/urandom | base64 > secret
operator_key=$(head -c 16 /dev/urandom | base64 | tr -d '/+=')
customer_key=$(head -c 16 /dev/urandom | base64 | tr -d '/+=')
printf '%s' "$operator_key" > operator-key
chmod 600 secret operator-key

for i in 1 2 3; do
  mkdir -p "data$i"
  cat > "host$i.ini" <<INI
[node]
name = host$i
cluster = demo
data-centre = dc$i
data = data$i
roles = entry, owner, store, control
drain = 10s
[listen]
callers = 127.0.0.1:181${i}1
operators = 127.0.0.1:181${i}2
peers = 127.0.0.1:181${i}3
streams = 127.0.0.1:181${i}4
[control]
voters = host1@127.0.0.1:18113, host2@127.0.0.1:18123, host3@127.0.0.1:18133
bootstrap = true
shards = 16
[platform]
list = platform.json
[security]
secret = secret
operator-hash = sha256:$(sha "$operator_key")
[trace]
file = spans$i.json
INI
done
cat > platform.json <<JSON
{"sequence": 1, "backends": [
  {"address": "127.0.0.1:18191", "kind": "engine", "pool": "drum-advisor", "dataCentre": "dc1", "state": "live", "fences": true},
  {"address": "127.0.0.1:18192", "kind": "engine", "pool": "drum-advisor", "dataCentre": "dc2", "state": "live", "fences": true},
  {"address": "127.0.0.1:18193", "kind": "service", "pool": "yard", "dataCentre": "dc1", "state": "live"}]}
JSON
mkdir -p lists
cat > lists/plans.ini <<INI
[plan yard-team]
class = interactive
weight = 3
budget = 200000/1m
turns = 71
tokens = 140000
time = 30m
wait = 10s
customer.foreman = sha256:$(sha "$customer_key")
INI
cat > lists/usage.ini <<INI
[plan yard-team]
models = drum-advisor
services = yard

[service yard]
idempotent = GET, HEAD
INI

./zinniapond standin engine --listen 127.0.0.1:18191 --model drum-advisor > engine1.log 2>&1 & pids+=($!)
./zinniapond standin engine --listen 127.0.0.1:18192 --model drum-advisor > engine2.log 2>&1 & pids+=($!)
./zinniapond standin service --listen 127.0.0.1:18193 > service.log 2>&1 & pids+=($!)
for i in 1 2 3; do
  ./zinniapond node run --settings "host$i.ini" > "host$i.log" 2>&1 & pids+=($!)
done

echo "== waiting for three hosts"
for i in 1 2 3; do
  for _ in $(seq 100); do
    curl -sf "http://127.0.0.1:181${i}1/healthz" > /dev/null && break
    sleep 0.1
  done
  curl -sf "http://127.0.0.1:181${i}1/healthz" > /dev/null || { echo "host$i is not ready, see $folder/host$i.log"; exit 1; }
done

echo "== putting the two lists into force"
export ZINNIAPOND_ADDRESS=127.0.0.1:18112 ZINNIAPOND_KEY_FILE=operator-key
./zinniapond config check --folder lists
./zinniapond config apply --folder lists

call() { # entry, path, key, body
  curl -sS -D headers -X POST "http://127.0.0.1:181${1}1$2" -H "Authorization: Bearer $customer_key" \
    -H "Zinniapond-Program: drum-17" -H "Idempotency-Key: $3" -d "$4"
  echo
  sed -n 's/\r$//; s/^\(Zinniapond-Outcome.*\)/   \1/p' headers
}
echo "== a program of three calls through three entries, one of them sent twice"
call 1 /v1/chat/completions read '{"model":"drum-advisor","max_tokens":24,"messages":[{"role":"user","content":"Drum 17: residue of solvent paint. How is it washed?"}]}'
call 2 /services/yard/drums/17/release release '{"drum":17}'
echo "   the release is sent again through another entry and has no second effect:"
call 3 /services/yard/drums/17/release release '{"drum":17}'
call 3 /v1/chat/completions quote '{"model":"drum-advisor","max_tokens":24,"messages":[{"role":"user","content":"Quote the customer for drum 17."}]}'
echo "   effects at the service: $(curl -sS http://127.0.0.1:18193/effects)"

echo "== what happened to the program"
./zinniapond program view drum-17
echo "== the fleet"
./zinniapond node status
echo
echo "The history is in the journals $folder/data{1,2,3}, spans in $folder/spans*.json, logs in $folder/*.log."
