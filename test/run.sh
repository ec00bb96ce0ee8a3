#!/usr/bin/env bash
# Runs an end-to-end example on this machine: a fake platform, two fake engines and a fake plain
# service, two instances in two availability zones, one configuration and two chat turns.
# It needs Go and bash, uses free ports, and stops every process that it started.
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
trap 'echo "failed; the end of the log:" >&2; tail -n 20 "$work/log" >&2' ERR

go build -o bin/ ./cmd/... ./test/standin

# Finds ten consecutive ports on which nothing listens, below the range from which the system takes
# the ports of outgoing connections.
taken() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
free_ports() {
  local first p
  while :; do
    first=$((10000 + RANDOM % 990 * 10))
    for p in {0..9}; do taken $((first + p)) && continue 2; done
    echo "$first"
    return
  done
}
first=$(free_ports)
port() { echo "127.0.0.1:$((first + $1))"; }
platform=$(port 0) engine_a=$(port 1) engine_b=$(port 2) portal=$(port 3)

start() { "$@" >>"$work/log" 2>&1 & pids+=($!); }
settings() { # number listen peer_listen admin_listen
  cat >"$work/entry-$1.json" <<JSON
{
  // One entry instance.
  "name": "entry-$1",
  "zone": "zone-$1",
  "listen": "$2",
  "peer_listen": "$3",
  "admin_listen": "$4",
  "platform": "http://$platform",
  "accept_delay": "200ms",
}
JSON
}

echo "starting a platform, two engines and a plain service as stand-ins,"
echo "and two instances in two availability zones"
start bin/standin --listen "$platform" platform
start bin/standin --listen "$engine_a" engine --name engine-a
start bin/standin --listen "$engine_b" engine --name engine-b
start bin/standin --listen "$portal" plain --name portal-a
settings 1 "$(port 4)" "$(port 5)" "$(port 6)"
settings 2 "$(port 7)" "$(port 8)" "$(port 9)"
start bin/ebonydyked --settings "$work/entry-1.json"
start bin/ebonydyked --settings "$work/entry-2.json"

cat >"$work/fleet.json" <<JSON
{
  "services": [
    {"name": "portal", "kind": "plain", "backend_servers": [
      {"name": "portal-a", "address": "$portal", "zone": "zone-1"}]},
    // The model service needs the portal.
    {"name": "underwriting", "kind": "model", "depends_on": ["portal"], "backend_servers": [
      {"name": "engine-a", "address": "$engine_a", "zone": "zone-1"},
      {"name": "engine-b", "address": "$engine_b", "zone": "zone-2"}]},
  ],
  "customers": [{"name": "branch-recife"}],
}
JSON
export EBONYDYKE_PLATFORM="http://$platform" EBONYDYKE_INSTANCES="$(port 6),$(port 9)"

echo
echo "\$ ebonyctl apply fleet.json"
for _ in {1..100}; do # wait until the platform listens
  bin/ebonyctl get >/dev/null 2>&1 && break
  sleep 0.1
done
bin/ebonyctl apply "$work/fleet.json"
echo
echo "\$ ebonyctl status --wait"
bin/ebonyctl status --wait

turn() { # listen
  bin/ebonyctl send --to "$1" --customer branch-recife --chat dossier-17 --model underwriting --stream review
}
backend() { sed -n 's/^answered by \([^ ]*\) .*/\1/p' "$1"; }
echo
echo "\$ ebonyctl send --chat dossier-17 ...    # first turn, through entry-1"
turn "$(port 4)" | tee "$work/first"
echo
# Peers receive the end of the first request with a digest, up to half a second later. Real callers
# take longer than that between two turns.
sleep 1
echo "\$ ebonyctl send --chat dossier-17 ...    # second turn, through entry-2"
turn "$(port 7)" | tee "$work/second" | tail -n 1
grep -q '^data: \[DONE\]' "$work/first"
grep -q '^data: \[DONE\]' "$work/second"
[ -n "$(backend "$work/first")" ]
[ "$(backend "$work/first")" = "$(backend "$work/second")" ]
echo
echo "both turns met the same backend server: $(backend "$work/second")"
