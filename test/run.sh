#!/usr/bin/env bash
# Runs the whole path on this machine: a platform, two engines and a plain service
# as stand-ins, two instances in two availability zones, one text, two chat turns.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
finish() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT

go build -o bin/ ./cmd/... ./test/standin
start() { "$@" 2>>"$work/log" & pids+=($!); }
wait_for() {
  for _ in $(seq 100); do curl -sf -o /dev/null "$1" && return; sleep 0.1; done
  echo "no answer from $1" >&2
  cat "$work/log" >&2
  exit 1
}

start bin/standin --listen 127.0.0.1:17000 platform
start bin/standin --listen 127.0.0.1:17101 engine --name engine-a
start bin/standin --listen 127.0.0.1:17102 engine --name engine-b
start bin/standin --listen 127.0.0.1:17103 plain --name portal-a
wait_for http://127.0.0.1:17000/v1/instances

for i in 1 2; do
  cat >"$work/instance-$i.json" <<JSON
{
  // One entry instance.
  "name": "entry-$i",
  "zone": "zone-$i",
  "listen": "127.0.0.1:1720$i",
  "peer_listen": "127.0.0.1:1721$i",
  "admin_listen": "127.0.0.1:1722$i",
  "platform": "http://127.0.0.1:17000",
  "accept_delay": "200ms",
}
JSON
  start bin/ebonydyked --settings "$work/instance-$i.json"
done

cat >"$work/fleet.json" <<'JSON'
{
  "services": [
    {"name": "portal", "kind": "plain", "backend_servers": [
      {"name": "portal-a", "address": "127.0.0.1:17103", "zone": "zone-1"}]},
    // The model service needs the portal.
    {"name": "underwriting", "kind": "model", "depends_on": ["portal"], "backend_servers": [
      {"name": "engine-a", "address": "127.0.0.1:17101", "zone": "zone-1"},
      {"name": "engine-b", "address": "127.0.0.1:17102", "zone": "zone-2"}]},
  ],
  "customers": [{"name": "branch-recife"}],
}
JSON
bin/ebonyctl --platform http://127.0.0.1:17000 apply "$work/fleet.json"

chat() {
  curl -sN --max-time 20 -D "$work/head" "http://127.0.0.1:1720$1/v1/chat/completions" \
    -H 'Ebonydyke-Customer: branch-recife' -H 'Ebonydyke-Chat: dossier-17' \
    -d '{"model": "underwriting", "stream": true, "messages": [{"role": "user", "content": "review"}]}' >"$work/body"
  grep -q '^data: \[DONE\]' "$work/body" || { cat "$work/head" "$work/body" "$work/log" >&2; exit 1; }
  sed -n 's/^Ebonydyke-Backend: \([^\r]*\).*/\1/p' "$work/head"
}
for i in 1 2; do
  for _ in $(seq 100); do
    code=$(curl -s -o /dev/null -w '%{http_code}' -H 'Ebonydyke-Customer: branch-recife' "http://127.0.0.1:1720$i/services/portal/hello" || true)
    [ "$code" = 200 ] && break
    sleep 0.1
  done
done
first=$(chat 1)
second=$(chat 2)
echo "first turn through entry-1: $first"
echo "second turn through entry-2: $second"
[ -n "$first" ] && [ "$first" = "$second" ]
echo "both turns met the same backend server"
