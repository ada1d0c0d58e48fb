#!/usr/bin/env bash
# Starts and stops a test cluster of separate processes on 127.0.0.1: platform stand-in, upstream stand-in and entry VMs.
#
#   scripts/cluster.sh start DIR [options]   starts the cluster; its settings, logs and pids go to DIR
#   scripts/cluster.sh stop DIR              stops the processes whose pids are in DIR, and no others
#   scripts/cluster.sh pids DIR              prints the pids of the running processes as options of `load faults`
#
# Options of start (defaults in brackets):
#   --name NAME [crema]             cluster name
#   --deployment crema|corallo      region, data centres and teams [crema]
#   --vms N [7]                     entry VMs
#   --workers N [32]                workers of the upstream
#   --policy NAME [slot-leases]     placement: slot-leases (least-finish in the settings) or a baseline: random, round-robin,
#                                   two-choices, fixed-shares, single-owner
#   --mode horizon|commit           ownership mode [horizon]
#   --lease-ms N [6000]             length of the horizon lease; renewed every third of it
#   --shards N [16]                 shards
#   --base-port N [17000]           platform; +1 upstream control, +100.. entry HTTP, +200.. entry peers
#   --heap SIZE [256m]              heap of an entry VM
#   --hop-delay-ms N [0]            one-way delay between data centres
#   --straggler-share X [0]         share of slow workers
#   --seed N [1]                    seed of the workers' speeds
#
# The jar is target/dandelionpoint.jar, or the file named by DANDELIONPOINT_JAR.
set -euo pipefail

readonly READY_SECONDS=90
readonly STOP_SECONDS=45

root="$(cd "$(dirname "$0")/.." && pwd)"
jar="${DANDELIONPOINT_JAR:-$root/target/dandelionpoint.jar}"

fail() {
  echo "cluster.sh: $*" >&2
  exit 1
}

usage() {
  sed -n '2,26s/^# \{0,1\}//p' "$0" >&2
  exit 2
}

# Prints the start time of process $1. Stored with the pid, it shows whether the pid has been reused by another process since.
start_time() {
  ps -o lstart= -p "$1" 2>/dev/null || true
}

# Succeeds if the process of pid file $1 is still running.
is_own() {
  local file="$1" pid started
  [ -s "$file" ] || return 1
  { read -r pid && read -r started; } <"$file"
  [ -n "$started" ] && [ "$(start_time "$pid")" = "$started" ]
}

# launch NAME HEAP ARGUMENT...: starts the jar in the background and stores its pid and start time.
launch() {
  local name="$1" heap="$2"
  shift 2
  java "-Xmx$heap" -XX:+UseSerialGC -jar "$jar" "$@" >"$dir/logs/$name.out" 2>"$dir/logs/$name.err" </dev/null &
  local pid=$!
  { echo "$pid"; start_time "$pid"; } >"$dir/pids/$name.pid"
}

# Waits until process $1 prints the JSON line that says that it is ready.
await_ready() {
  local name="$1" deadline=$((SECONDS + READY_SECONDS))
  until grep -qE '^\{.*"(role|event)": ?"(ready|platform|upstream)"' "$dir/logs/$name.out"; do
    is_own "$dir/pids/$name.pid" || { tail -n 5 "$dir/logs/$name.err" >&2; fail "$name exited before it was ready; its last error output is above"; }
    [ "$SECONDS" -lt "$deadline" ] || fail "$name was not ready within $READY_SECONDS s"
    sleep 0.1
  done
}

random_token() {
  od -An -N16 -tx1 /dev/urandom | tr -d ' \n'
}

# Prints the settings of entry VM number $1.
entry_settings() {
  local number="$1" centre="${centres[$(($1 % ${#centres[@]}))]}" peers="" other
  for other in $(seq 0 $((vms - 1))); do
    [ "$other" = "$number" ] || peers="$peers${peers:+, }{\"host\": \"127.0.0.1\", \"port\": $((base_port + 200 + other))}"
  done
  cat <<JSON
{
  "name": "entry-$number",
  "cluster": "$name",
  "region": "$region",
  "dataCentre": "$centre",
  "http": {"host": "127.0.0.1", "port": $((base_port + 100 + number))},
  "peer": {"host": "127.0.0.1", "port": $((base_port + 200 + number))},
  "seedPeers": [$peers],
  "platform": "http://127.0.0.1:$base_port",
  "tokenFile": "$dir/tokens.txt",
  "placement": "$policy",
  "ownership": {"mode": "$mode", "shards": $shards, "leaseMs": $lease_ms, "renewMs": $((lease_ms / 3))}
}
JSON
}

# Prints the file of addresses and quotas that `load --cluster` reads.
cluster_file() {
  local entries="" quotas="" number team
  for number in $(seq 0 $((vms - 1))); do
    entries="$entries${entries:+, }\"127.0.0.1:$((base_port + 100 + number))\""
  done
  for team in "${teams[@]}"; do
    quotas="$quotas${quotas:+, }\"${team%=*}\": ${team#*=}"
  done
  cat <<JSON
{
  "name": "$name",
  "entries": [$entries],
  "upstream": "http://127.0.0.1:$((base_port + 1))",
  "platform": "http://127.0.0.1:$base_port",
  "tokenFile": "$dir/tokens.txt",
  "quotas": {$quotas}
}
JSON
}

write_tokens() {
  local team
  (
    umask 077
    {
      echo "$(random_token) operator"
      for team in "${teams[@]}"; do echo "$(random_token) ${team%=*}"; done
    } >"$dir/tokens.txt"
  )
}

# Writes the quotas of the teams into the configuration. Retries, since changes may be refused until the VMs have connected to each other.
put_teams() {
  local operator team deadline=$((SECONDS + READY_SECONDS))
  operator="$(awk '$2 == "operator" { print $1 }' "$dir/tokens.txt")"
  for team in "${teams[@]}"; do
    until curl -sS -f --noproxy '*' -o /dev/null -X PUT -H "Authorization: Bearer $operator" -H 'Content-Type: application/json' \
      -d "{\"weight\": ${team#*=}}" "http://127.0.0.1:$((base_port + 100))/v1/teams/${team%=*}" 2>"$dir/logs/teams.err"; do
      [ "$SECONDS" -lt "$deadline" ] || fail "team ${team%=*} could not be created: $(tail -n 1 "$dir/logs/teams.err")"
      sleep 0.5
    done
  done
}

# Stops the processes that are already running when a later step of the start fails.
start_failed() {
  trap - ERR EXIT
  stop_all || true
}

start_cluster() {
  name=crema deployment=crema vms=7 workers=32 policy=slot-leases mode=horizon lease_ms=6000 shards=16 base_port=17000
  heap=256m hop_delay_ms=0 straggler_share=0 seed=1
  while [ $# -gt 0 ]; do
    [ $# -ge 2 ] || usage
    case "$1" in
      --name) name="$2" ;;
      --deployment) deployment="$2" ;;
      --vms) vms="$2" ;;
      --workers) workers="$2" ;;
      --policy) policy="$2" ;;
      --mode) mode="$2" ;;
      --lease-ms) lease_ms="$2" ;;
      --shards) shards="$2" ;;
      --base-port) base_port="$2" ;;
      --heap) heap="$2" ;;
      --hop-delay-ms) hop_delay_ms="$2" ;;
      --straggler-share) straggler_share="$2" ;;
      --seed) seed="$2" ;;
      *) usage ;;
    esac
    shift 2
  done
  [ "$policy" != slot-leases ] || policy=least-finish
  case "$deployment" in
    crema) region=aotearoa-north centres=(akl-a akl-b ham-a tga-a) teams=(lookups=4 certificates=2 billing=1) ;;
    corallo) region=nord-italia centres=(milano-a milano-b torino-a verona-a) teams=(tracks=5 scores=2 billing=1) ;;
    *) usage ;;
  esac
  [ -s "$jar" ] || fail "$jar is missing; build it with mvn package"
  mkdir -p "$dir/logs" "$dir/pids"
  dir="$(cd "$dir" && pwd)"
  local file
  for file in "$dir"/pids/*.pid; do
    if is_own "$file"; then fail "$(basename "$file" .pid) of $dir is still running; run stop first"; fi
  done
  rm -f "$dir"/pids/*.pid "$dir"/logs/*
  trap start_failed ERR EXIT

  write_tokens
  launch platform 512m platform --port "$base_port"
  await_ready platform
  launch upstream 1g upstream --control-port "$((base_port + 1))" --workers "$workers" --region "$region" \
    --data-centres "$(IFS=,; echo "${centres[*]}")" --platform "http://127.0.0.1:$base_port" \
    --hop-delay-ms "$hop_delay_ms" --straggler-share "$straggler_share" --seed "$seed"
  await_ready upstream
  local number
  for number in $(seq 0 $((vms - 1))); do
    entry_settings "$number" >"$dir/entry-$number.json"
    launch "entry-$number" "$heap" entry "$dir/entry-$number.json"
  done
  for number in $(seq 0 $((vms - 1))); do await_ready "entry-$number"; done
  cluster_file >"$dir/cluster.json"
  put_teams
  trap - ERR EXIT
  echo "{\"event\": \"ready\", \"cluster\": \"$name\", \"file\": \"$dir/cluster.json\"}"
}

# Sends SIGTERM to the processes whose names match $1; those that have not exited after STOP_SECONDS get SIGKILL.
stop_matching() {
  local file pid deadline=$((SECONDS + STOP_SECONDS))
  for file in "$dir"/pids/$1.pid; do
    if is_own "$file"; then kill "$(head -n 1 "$file")" 2>/dev/null || true; fi
  done
  for file in "$dir"/pids/$1.pid; do
    [ -e "$file" ] || continue
    pid="$(head -n 1 "$file")"
    while is_own "$file"; do
      if [ "$SECONDS" -ge "$deadline" ]; then
        echo "cluster.sh: $(basename "$file" .pid) did not stop within $STOP_SECONDS s and was killed" >&2
        kill -KILL "$pid" 2>/dev/null || true
        sleep 0.5
        break
      fi
      sleep 0.1
    done
    rm -f "$file"
  done
}

# Stops the entry VMs first, because their planned stop needs the platform and the workers.
stop_all() {
  stop_matching 'entry-*'
  stop_matching upstream
  stop_matching platform
}

# Prints one `--pid NAME=PID` option for each running process.
print_pids() {
  local file
  for file in "$dir"/pids/*.pid; do
    if is_own "$file"; then echo "--pid $(basename "$file" .pid)=$(head -n 1 "$file")"; fi
  done
}

[ $# -ge 2 ] || usage
command="$1" dir="$2"
shift 2
case "$command" in
  start) start_cluster "$@" ;;
  stop) stop_all ;;
  pids) print_pids ;;
  *) usage ;;
esac
