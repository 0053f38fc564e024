#!/usr/bin/env bash
# Measures processor time, memory and heartbeat bytes of one idle entry or one idle agent for growing
# numbers of connections. The peers are stand-ins in one other process (`bench peers`).
# Usage: bench/scripts/idle-slope.sh entry 24 108 216 432
#        bench/scripts/idle-slope.sh agent 21 48 93 186
# Prints a line a size: role, connections, processor share in percent of a core during the first
# window after the start and during the steady window, share of the compiler threads in the steady
# window, resident MB, live heap MB after a collection, bytes a second as the peers see them.
# Settings: WARM_UP_SECONDS (60), SECONDS_MEASURED (30), JAR_DIRECTORY (other build), BASE_PORT,
# JAVA_OPTIONS, RECORDING (file of a JFR recording of the steady window).
set -euo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT
warm_up_seconds=${WARM_UP_SECONDS:-60}
seconds=${SECONDS_MEASURED:-30}
base=${BASE_PORT:-28000}
ticks=$(getconf CLK_TCK)
read -ra java_options <<<"${JAVA_OPTIONS:--XX:+UseSerialGC -Xmx96m -XX:TieredStopAtLevel=1 -XX:-UseDynamicNumberOfCompilerThreads}"
role=$1
shift
run() { # log name, module, java options, arguments...
  local name=$1 module=$2 options=$3
  shift 3
  local jar=$module/target/vanilladale-$module.jar
  if [[ -n "${JAR_DIRECTORY:-}" ]]; then jar=$JAR_DIRECTORY/vanilladale-$module.jar; fi
  # shellcheck disable=SC2086
  java $options -jar "$jar" "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}
used_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
compiler_ticks() {
  local sum=0 file
  for file in "/proc/$1/task/"*/stat; do
    case "$(cat "${file%stat}comm" 2>/dev/null)" in
      C1*|C2*) sum=$((sum + $(awk '{print $(NF - 38) + $(NF - 37)}' "$file"))) ;;
    esac
  done
  echo "$sum"
}
resident_kilobytes() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
common="\"peerSecret\":\"secret\",\"operatorToken\":\"token\",\"configurationServiceUrl\":\"http://127.0.0.1:$base\",\"vmListUrl\":\"http://127.0.0.1:$((base + 1))\""
plain_options="-XX:+UseSerialGC -Xmx256m -XX:TieredStopAtLevel=1"

for size in "$@"; do
  pids=()
  # 16 targets a pool, as each entry uses at the plan; reports cost more in larger pools.
  pools=""
  for ((pool = 0; 16 * pool < size; pool++)); do
    targets=""
    for ((i = 16 * pool; i < size && i < 16 * pool + 16; i++)); do
      targets+="{\"target\":\"t$i\",\"agentAddress\":\"127.0.0.1:$((base + 100 + i))\",\"dataCentre\":\"a\"},"
    done
    pools+="{\"name\":\"p$pool\",\"type\":\"service\",\"targets\":[${targets%,}]},"
  done
  echo "[${pools%,}]" >"$work/pools.json"
  echo '[{"name":"r","kind":"k","pool":"p0","idempotent":true,"deadlineMilliseconds":2000}]' \
    >"$work/routes.json"
  run tables stand-ins "$plain_options" configuration-service --port="$base" \
    --routes="$work/routes.json" --pools="$work/pools.json"
  run list stand-ins "$plain_options" vm-list --port="$((base + 1))"
  if [[ $role == entry ]]; then
    run peers bench "$plain_options" peers agents --first-port=$((base + 100)) --count="$size" \
      --report-seconds="$seconds"
    echo "{\"vm\":\"e\",\"dataCentre\":\"a\",\"callerAddress\":\"127.0.0.1:$((base + 3))\",\"peerAddress\":\"127.0.0.1:$((base + 4))\",\"operatorAddress\":\"127.0.0.1:$((base + 5))\",\"subsetSize\":16,$common}" >"$work/measured.json"
    run measured entry "${java_options[*]}" --settings="$work/measured.json"
  else
    run service stand-ins "$plain_options" service --port="$((base + 2))"
    echo "{\"vm\":\"a0\",\"target\":\"t0\",\"dataCentre\":\"a\",\"peerAddress\":\"127.0.0.1:$((base + 100))\",\"operatorAddress\":\"127.0.0.1:$((base + 5))\",\"targetUrl\":\"http://127.0.0.1:$((base + 2))\",\"targetType\":\"service\",$common}" >"$work/measured.json"
    run measured agent "${java_options[*]}" --settings="$work/measured.json"
  fi
  measured=${pids[-1]}
  if [[ $role == agent ]]; then
    run peers bench "$plain_options" peers entries --address="127.0.0.1:$((base + 100))" --count="$size" \
      --report-seconds="$seconds"
  fi
  sleep "$((warm_up_seconds / 2))"
  first=$(used_ticks "$measured")
  sleep "$((warm_up_seconds - warm_up_seconds / 2))"
  before=$(used_ticks "$measured")
  compiled_before=$(compiler_ticks "$measured")
  if [[ -n "${RECORDING:-}" ]]; then
    jcmd "$measured" JFR.start name=idle settings=profile filename="$RECORDING" >/dev/null
  fi
  sleep "$seconds"
  after=$(used_ticks "$measured")
  compiled_after=$(compiler_ticks "$measured")
  if [[ -n "${RECORDING:-}" ]]; then jcmd "$measured" JFR.stop name=idle >/dev/null; fi
  # The report of the peers for this window comes a little later.
  sleep 3
  resident=$(resident_kilobytes "$measured")
  jcmd "$measured" GC.run >/dev/null
  live=$(jcmd "$measured" GC.heap_info | awk '{
      for (i = 1; i < NF; i++) if ($i == "used" && $0 !~ /Metaspace|class space/) {
        sub("K.*", "", $(i + 1)); sum += $(i + 1) } } END {print sum + 0}')
  traffic=$(grep connections "$work/peers.log" | tail -1)
  awk -v r="$role" -v n="$size" -v f="$first" -v e=$((after - before)) \
    -v c=$((compiled_after - compiled_before)) -v m="$resident" -v l="$live" -v t="$ticks" \
    -v s="$seconds" -v h="$((warm_up_seconds / 2))" -v x="$traffic" \
    'BEGIN {printf "%s %d first %.2f %% steady %.2f %% compiler %.2f %% resident %.0f MB live %.1f MB; peers: %s\n",
      r, n, 100 * f / t / h, 100 * e / t / s, 100 * c / t / s, m / 1024, l / 1024, x}'
  if [[ -n "${KEEP_LOGS:-}" ]]; then cp "$work"/*.log "$KEEP_LOGS"; fi
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
done
