#!/usr/bin/env bash
# Starts one stand-in engine, one agent and one entry and runs `bench path-slope` against them.
# Usage: bench/scripts/path-slope.sh [options of path-slope]
# JARS names the directory of the programs' jars, for paired runs of two builds; the default is the
# build of this tree. STEP_MILLISECONDS is the engine's step; PORT the first of eight ports.
# RECORDING names a directory for JFR recordings of entry and agent.
set -euo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
pids=()
stop() {
  # The recordings are written when the programs end by themselves.
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  sleep 2
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT
port=${PORT:-28700}
jar() { # module
  if [[ -n "${JARS:-}" ]]; then echo "$JARS/vanilladale-$1.jar"; else echo "$1/target/vanilladale-$1.jar"; fi
}
run() { # log name, module, arguments...
  local name=$1 module=$2 options=(-XX:+UseSerialGC -Xmx128m -XX:-UseDynamicNumberOfCompilerThreads)
  shift 2
  [[ $module == stand-ins ]] && options=(-XX:+UseParallelGC -Xmx1g)
  [[ -n "${RECORDING:-}" && $module != stand-ins ]] &&
    options+=("-XX:StartFlightRecording:settings=profile,dumponexit=true,filename=$RECORDING/$name.jfr")
  java "${options[@]}" -jar "$(jar "$module")" "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}
url() { echo "http://127.0.0.1:$((port + $1))"; }
address() { echo "127.0.0.1:$((port + $1))"; }
common="\"peerSecret\":\"secret\",\"operatorToken\":\"token\",\"configurationServiceUrl\":\"$(url 0)\",\"vmListUrl\":\"$(url 1)\""
echo "[{\"name\":\"p\",\"type\":\"model\",\"model\":\"m\",\"targets\":[{\"target\":\"t\",\"agentAddress\":\"$(address 3)\",\"dataCentre\":\"a\"}]}]" >"$work/pools.json"
echo '[{"name":"draft","kind":"draft","pool":"p","idempotent":true,"deadlineMilliseconds":60000}]' \
  >"$work/routes.json"
echo "{\"vm\":\"a\",\"target\":\"t\",\"dataCentre\":\"a\",\"peerAddress\":\"$(address 3)\",\"operatorAddress\":\"$(address 4)\",\"targetUrl\":\"$(url 2)\",\"targetType\":\"model\",\"slots\":256,\"queue\":256,$common}" >"$work/agent.json"
echo "{\"vm\":\"e\",\"dataCentre\":\"a\",\"callerAddress\":\"$(address 5)\",\"peerAddress\":\"$(address 6)\",\"operatorAddress\":\"$(address 7)\",$common}" >"$work/entry.json"
run tables stand-ins configuration-service --port="$port" \
  --routes="$work/routes.json" --pools="$work/pools.json"
run list stand-ins vm-list --port=$((port + 1))
run engine stand-ins engine --port=$((port + 2)) --slots=256 \
  --step-milliseconds="${STEP_MILLISECONDS:-1}"
run agent agent --settings="$work/agent.json"
agent=${pids[-1]}
run entry entry --settings="$work/entry.json"
entry=${pids[-1]}
for _ in {1..60}; do
  sleep 1
  curl -s -o "$work/first" -X POST -H 'vanilladale-workspace: w' -H 'vanilladale-kind: draft' \
    -H 'vanilladale-request-key: first' -d x "$(url 5)/v1/requests" || true
  grep -q '"end":true' "$work/first" 2>/dev/null && break
done
java -jar "${BENCH:-bench/target/vanilladale-bench.jar}" path-slope --engine-url="$(url 2)" \
  --entry-url="$(url 5)" --kind=draft --process entry="$entry" --process agent="$agent" "$@"
