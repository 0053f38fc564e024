#!/usr/bin/env bash
# Starts a small fleet with stand-ins for the platform, sends requests of both users' kinds and
# stops everything. Exit code 0 means that every answer was whole and every program stopped by
# itself. Uses the ports 27000 to 27405 of the loopback address.
set -euo pipefail
cd "$(dirname "$0")"

programs=(entry agent operator stand-ins bench)
declare -A jars
find_jars() {
  local program
  for program in "${programs[@]}"; do
    jars[$program]="$program/target/vanilladale-$program.jar"
    [[ -f "${jars[$program]}" ]] || return 1
  done
}
if ! find_jars; then
  echo "== build"
  mvn -B -ntp -q -DskipTests package
  find_jars
fi

logs="$(mktemp -d)"
names=()
ids=()
failures=0

# Ends what still runs when the demo leaves early; a normal end has stopped everything before.
end_all() {
  local code=$? id
  trap - EXIT
  for id in "${ids[@]}"; do
    kill -KILL "$id" 2>/dev/null || true
  done
  if ((code != 0)); then
    echo "the demo failed; logs are in $logs"
  else
    rm -rf "$logs"
  fi
  exit "$code"
}
trap end_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

start() {
  local name=$1 program=$2
  shift 2
  java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms16m -Xmx128m -jar "${jars[$program]}" "$@" \
    >"$logs/$name.log" 2>&1 &
  names+=("$name")
  ids+=("$!")
}

operator() { java -XX:TieredStopAtLevel=1 -jar "${jars[operator]}" "$@"; }

failed() {
  echo "FAILED: $1"
  failures=$((failures + 1))
}

entries=(127.0.0.1:27100 127.0.0.1:27101)
targets=(drafting-0 drafting-1 catalogue-0 garter-orders-0 garter-orders-1 member-orders-0)
export VANILLADALE_TOKEN=demo-only-operator-token

# Sends one request and prints its answer in short; the first word names the entry to ask first.
call() {
  local first=$1 code=0 output
  shift
  output="$(java -XX:TieredStopAtLevel=1 -jar "${jars[bench]}" call \
    --entry="${entries[$first]}" --entry="${entries[1 - first]}" --wait-seconds=15 "$@")" || code=$?
  cut -c1-160 <<<"$output"
  call_code=$code
  call_output=$output
}

# The first word is a pattern that the answer has to match, the others go to `call`.
expect_whole() {
  local pattern=$1
  shift
  call "$@"
  if ((call_code != 0)); then
    failed "${*:2} ended with code $call_code"
  elif ! grep -qE "$pattern" <<<"$call_output"; then
    failed "${*:2} has an answer without $pattern"
  fi
}

# The stand-in engine answers with 24 tokens; a stand-in service names key and execution.
draft='^([0-9a-f]{6} ){24}$'
orders_available=1
expect_order() {
  local pattern=$1
  shift
  call "$@" --binding
  if ((call_code == 5)); then
    orders_available=0
  elif ((call_code != 0)); then
    failed "${*:2} ended with code $call_code"
  elif ! grep -qF "$pattern" <<<"$call_output"; then
    failed "${*:2} has an answer without $pattern"
  fi
}

echo "== tables and settings"
operator check --routes=demo/routes.json --pools=demo/pools.json
for entry in entry-0 entry-1; do
  operator check-settings --program=entry --settings="demo/$entry.json"
done
for target in "${targets[@]}"; do
  operator check-settings --program=agent --settings="demo/agent-$target.json"
done

echo "== start"
start configuration-service stand-ins configuration-service --port=27000 \
  --routes=demo/routes.json --pools=demo/pools.json
start vm-list stand-ins vm-list --port=27001 --list=demo/vms.json
for index in 0 1 2; do
  start "engine-$index" stand-ins engine --port="2740$index" --tokens=24
done
for index in 3 4 5; do
  start "service-$index" stand-ins service --port="2740$index" --label="${targets[$index]}"
done
for target in "${targets[@]}"; do
  start "agent-$target" agent --settings="demo/agent-$target.json"
done
start entry-0 entry --settings=demo/entry-0.json
start entry-1 entry --settings=demo/entry-1.json
echo "${#ids[@]} processes: ${names[*]}"

echo "== Podwiązka Labs"
expect_whole "$draft" 0 --kind=fitting-note --workspace=labs-customer-1 --key=note-1 \
  --body="Szkic notatki: podwiązka, haft różany, obwód 34 cm"
# One transparent pixel stands for the customer's photo.
photo=iVBORw0KGgoAAAANSUhEUgAAAAEAAAABCAYAAAAfFcSJAAAADUlEQVR42mNkYPhfDwAChwGA60e6kgAAAABJRU5ErkJggg==
expect_whole "$draft" 1 --kind=fitting-note --workspace=labs-customer-2 --key=note-2 \
  --content-type=application/json \
  --body="{\"note\": \"Bitte auf Deutsch antworten\", \"photo\": \"$photo\"}"
expect_whole '"key":"labs-customer-1/status-1"' 0 --kind=order-status --workspace=labs-customer-1 --key=status-1 \
  --content-type=application/json --body='{"order": "garter-17"}'
expect_order '"key":"labs-customer-1/garter-17","execution":1' 1 --kind=garter-order --workspace=labs-customer-1 --key=garter-17 \
  --content-type=application/json --body='{"garter": "rose", "pieces": 2}'

echo "== Prairie Hardware Commons Cooperative"
expect_whole "$draft" 1 --kind=finish-description --workspace=counter-1 --key=finish-1 \
  --body="Describe the finish of an oil-rubbed bronze cup pull"
expect_whole '"key":"counter-1/stock-1"' 0 --kind=stock --workspace=counter-1 --key=stock-1 \
  --content-type=application/json --body='{"bin": "brass-cup-pull"}'
expect_order '"key":"counter-1/member-9","execution":1' 1 --kind=member-order --workspace=counter-1 --key=member-9 \
  --content-type=application/json --body='{"bin": "brass-cup-pull", "pieces": 4}'

echo "== routes"
for kind in fitting-note order-status garter-order finish-description stock member-order; do
  operator explain --kind="$kind" --url=http://127.0.0.1:27120 || failed "explain $kind"
done

echo "== counters that are not zero"
for port in 27120 27121 27310 27311 27312 27313 27314 27315; do
  echo "-- operator address 127.0.0.1:$port"
  operator metrics --url="http://127.0.0.1:$port" || failed "metrics of port $port"
done

# Sends SIGTERM to the programs whose names match, all at once, and checks their exit codes.
stop_programs() {
  local pattern=$1 expected=$2 index code
  for index in "${!ids[@]}"; do
    [[ "${names[index]}" == $pattern ]] && kill -TERM "${ids[index]}"
  done
  for index in "${!ids[@]}"; do
    [[ "${names[index]}" == $pattern ]] || continue
    code=0
    wait "${ids[index]}" || code=$?
    ((code == expected)) || failed "${names[index]} ended with code $code"
    unset "ids[index]"
  done
}

echo "== stop"
# Entries leave before the agents that work for them, and the platform goes last.
stop_programs 'entry-*' 0
stop_programs 'agent-*' 0
# Stand-ins have no graceful stop: 143 is the code of SIGTERM.
stop_programs '*' 143
echo "${#names[@]} processes stopped"

if ((orders_available == 0)); then
  failed "orders are not available in this build: POST /v1/bindings answers 404"
fi
if ((failures > 0)); then
  echo "$failures failures"
  exit 1
fi
echo "every answer was whole and every program stopped by itself"
