#!/usr/bin/env bash
# Runs load under random faults: four daemons in three availability zones, four
# engines and two plain services, all as separate processes. The load consists
# of streams, idempotent calls and calls that may run at most once. Meanwhile
# daemons are killed, paused and stopped as planned, engines crash, cut streams,
# mix up or lose answers, connections stall and the log fails. SEED= and
# DURATION= (in seconds) select the run. pomelosbench judge prints the results
# and sets the exit code.
source "$(dirname "$0")/lib.sh"

SEED=${SEED:-1}
DURATION=${DURATION:-60}
DOCS=$ROOT/scripts/chaos
DAEMONS=4 ENGINES=4 PLAIN=2
UNFENCED=" 4 " # as stated in the document

start_fleet $DAEMONS $ENGINES $PLAIN
publish_all $DAEMONS $ENGINES "$DOCS"/*.yaml

bench chaos-plan --seed "$SEED" --duration "${DURATION}s" --daemons $DAEMONS --engines $ENGINES --plain $PLAIN \
  --document jadranski-feed --document halen-application >"$WORK/plan"
echo "chaos: seed $SEED, $DURATION s, $(wc -l <"$WORK/plan") steps"

bench chaos-load --seed "$SEED" --duration "${DURATION}s" --out "$WORK/outcomes.jsonl" &
LOAD=$!
BEGAN=$(date +%s%3N)

# wait_until MS waits until MS milliseconds after the start of the load.
wait_until() {
  local left=$((BEGAN + $1 - $(date +%s%3N)))
  [ $left -gt 0 ] && sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
  return 0
}

# republish SERVICE publishes, in the background, a version of the document that
# differs from the last one.
republish() {
  VERSIONS=$((${VERSIONS:-0} + 1))
  sed "s/answer: 20s/answer: $((20000 + VERSIONS))ms/" "$DOCS/$1.yaml" >"$WORK/$1.$VERSIONS.yaml"
  ctl publish "$WORK/$1.$VERSIONS.yaml" >>"$WORK/publish.out" 2>&1 &
  PUBLISHERS+=($!)
}
PUBLISHERS=()

step() {
  case $2 in
  kill) stop "$3" KILL ;;
  term) send "$3" TERM ;;
  start) again "$3" ;;
  pause) send "$3" STOP ;;
  resume) send "$3" CONT ;;
  publish) republish "$3" ;;
  fault)
    if [ "$4" = '{"kind":"crash"}' ]; then save_record "$3"; fi
    bench fault "$(address "$3")" "$4"
    ;;
  esac
}

while read -r at verb target fault; do
  wait_until "$at"
  [ -z "${VERBOSE:-}" ] || echo "$at $verb $target $fault"
  step "$at" "$verb" "$target" "$fault" || echo "chaos: step failed: $at $verb $target $fault" | tee -a "$WORK/failed"
done <"$WORK/plan"

wait $LOAD
for p in "${PUBLISHERS[@]}"; do wait "$p" || echo "chaos: a publish failed, see publish.out" | tee -a "$WORK/failed"; done
for n in $(seq $ENGINES); do save_record "engine-$n"; done
for n in $(seq $PLAIN); do save_record "plain-$n"; done
bench judge --outcomes "$WORK/outcomes.jsonl" --records "$RECORDS"
ctl status
[ ! -e "$WORK/failed" ]
