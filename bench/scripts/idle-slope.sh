#!/usr/bin/env bash
# Measures processor time and memory of one idle entry and its agents for growing numbers of agents.
# Usage: bench/scripts/idle-slope.sh 4 8 16 32
# Prints a line a size: agents, entry processor share in percent of a core, entry resident MB,
# agent processor share (mean), agent resident MB (mean).
set -euo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT
warm_up_seconds=${WARM_UP_SECONDS:-30}
seconds=${SECONDS_MEASURED:-20}
ticks=$(getconf CLK_TCK)
java_options=(-XX:+UseSerialGC -Xmx96m -XX:TieredStopAtLevel=1)
run() { # log name, module, arguments...
  local name=$1 module=$2
  shift 2
  java "${java_options[@]}" -jar "$module/target/vanilladale-$module.jar" "$@" \
    >"$work/$name.log" 2>&1 &
  pids+=($!)
}
used_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kilobytes() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
common='"peerSecret":"secret","operatorToken":"token","configurationServiceUrl":"http://127.0.0.1:28000","vmListUrl":"http://127.0.0.1:28001"'

for size in "$@"; do
  pids=()
  targets=""
  for ((i = 0; i < size; i++)); do
    targets+="{\"target\":\"t$i\",\"agentAddress\":\"127.0.0.1:$((28100 + i))\",\"dataCentre\":\"a\"},"
  done
  echo "[{\"name\":\"p\",\"type\":\"service\",\"targets\":[${targets%,}]}]" >"$work/pools.json"
  echo '[{"name":"r","kind":"k","pool":"p","idempotent":true,"deadlineMilliseconds":2000}]' \
    >"$work/routes.json"
  run tables stand-ins configuration-service --port=28000 \
    --routes="$work/routes.json" --pools="$work/pools.json"
  run list stand-ins vm-list --port=28001
  run service stand-ins service --port=28002
  first_agent=${#pids[@]}
  for ((i = 0; i < size; i++)); do
    echo "{\"vm\":\"a$i\",\"target\":\"t$i\",\"dataCentre\":\"a\",\"peerAddress\":\"127.0.0.1:$((28100 + i))\",\"operatorAddress\":\"127.0.0.1:$((28400 + i))\",\"targetUrl\":\"http://127.0.0.1:28002\",\"targetType\":\"service\",$common}" >"$work/a$i.json"
    run "a$i" agent --settings="$work/a$i.json"
  done
  echo "{\"vm\":\"e\",\"dataCentre\":\"a\",\"callerAddress\":\"127.0.0.1:28003\",\"peerAddress\":\"127.0.0.1:28004\",\"operatorAddress\":\"127.0.0.1:28005\",\"subsetSize\":$size,$common}" >"$work/e.json"
  run entry entry --settings="$work/e.json"
  entry=${pids[-1]}
  agents=("${pids[@]:first_agent:size}")
  sleep "$warm_up_seconds"
  before=$(used_ticks "$entry")
  agents_before=0
  for pid in "${agents[@]}"; do agents_before=$((agents_before + $(used_ticks "$pid"))); done
  sleep "$seconds"
  after=$(used_ticks "$entry")
  agents_after=0
  agents_memory=0
  for pid in "${agents[@]}"; do
    agents_after=$((agents_after + $(used_ticks "$pid")))
    agents_memory=$((agents_memory + $(resident_kilobytes "$pid")))
  done
  awk -v n="$size" -v e=$((after - before)) -v em="$(resident_kilobytes "$entry")" \
    -v a=$((agents_after - agents_before)) -v am="$agents_memory" -v t="$ticks" -v s="$seconds" \
    'BEGIN {printf "agents %d entry %.2f %% %.0f MB agent %.2f %% %.0f MB\n",
      n, 100 * e / t / s, em / 1024, 100 * a / t / s / n, am / 1024 / n}'
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
done
