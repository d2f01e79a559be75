#!/usr/bin/env bash
# Makes planned changes under load. In each round all daemons are restarted one
# after another, an engine is drained and replaced, another one changes its
# role, the model gets a new version, and a target is withdrawn and added again.
# Rounds are repeated while requests arrive. No request may be cut, doubled,
# unknown or failed. SEED= selects the load, SCALE= multiplies its rates.
source "$(dirname "$0")/lib.sh"

SEED=${SEED:-1}
SCALE=${SCALE:-1}
DOC=$ROOT/scripts/chaos/jadranski-language.yaml
DAEMONS=4 ENGINES=4 PLAIN=2
UNFENCED=" 4 " # as stated in the document
DURATION=${DURATION:-75} # seconds in which requests arrive; the last round ends later

step() { echo "$(($(date +%s%3N) - BEGAN)) ms: $1"; }

start_fleet $DAEMONS $ENGINES $PLAIN
publish_all $DAEMONS $ENGINES "$ROOT"/scripts/chaos/*.yaml

bench chaos-load --seed "$SEED" --duration "${DURATION}s" --short --streams $((50 * SCALE)) --feed-rate $((100 * SCALE)) \
  --once-rate $((10 * SCALE)) --out "$WORK/outcomes.jsonl" &
LOAD=$!
BEGAN=$(date +%s%3N)

# restart_daemons restarts the daemons one after another.
restart_daemons() {
  local n
  for n in $(seq $DAEMONS); do
    step "stop daemon-$n"
    send "daemon-$n" TERM
    ended "daemon-$n"
    again "daemon-$n"
    bench get --wait 15s "http://127.0.1.$n:17102/readyz" >/dev/null
  done
}

# publish SED-SCRIPT publishes the language document, changed by the script.
publish() {
  VERSIONS=$((${VERSIONS:-0} + 1))
  sed "$1" "$DOC" >"$WORK/language.$VERSIONS.yaml"
  ctl publish "$WORK/language.$VERSIONS.yaml"
}

# spec N TEXT waits until engine N has completed an order that contains the text.
spec() {
  bench get --wait 30s --has 'changing":false' --has "$2" "http://$(address "engine-$1")/control/state" >/dev/null
}

# replace_engine drains engine 1, waits until nothing runs on it, stops it and
# starts a new one at its address.
replace_engine() {
  step "drain engine-1"
  publish "$MODEL"'; /engine-1/s/}$/, drain: true}/'
  # A draining target may get new work for a few seconds; then its work runs out.
  sleep 3
  bench get --wait 20s --has 'running":0' --has 'waiting":0' "http://$(address engine-1)/control/load" >/dev/null
  save_record engine-1
  step "replace engine-1"
  stop engine-1 TERM
  again engine-1
  publish "$MODEL"
  wait_engine 1 >/dev/null
}

change_role() {
  step "engine-2 to prefill, and back"
  publish "$MODEL"'; /engine-2/s/}$/, role: prefill, pinned: true}/'
  spec 2 'role":"prefill'
  publish "$MODEL"'; /engine-2/s/}$/, role: mixed, pinned: true}/'
  spec 2 'role":"mixed'
}

# change_model VERSION loads a version of the model on all engines.
change_model() {
  local n
  step "model version $1"
  MODEL="s/version: \"3\"/version: \"$1\"/"
  publish "$MODEL"
  for n in $(seq $ENGINES); do spec "$n" 'version":"'"$1"; done
}

withdraw_engine() {
  step "withdraw engine-3, and take it back"
  publish "$MODEL; /engine-3/d"
  sleep 3
  bench get --wait 20s --has 'running":0' --has 'waiting":0' "http://$(address engine-3)/control/load" >/dev/null
  publish "$MODEL"
}

MODEL='s/version: "3"/version: "3"/'
ROUND=0
while kill -0 $LOAD 2>/dev/null; do
  ROUND=$((ROUND + 1))
  restart_daemons
  replace_engine
  change_role
  change_model $((3 + ROUND))
  withdraw_engine
done
step "$ROUND rounds done"

wait $LOAD
step "load done"
for n in $(seq $ENGINES); do save_record "engine-$n"; done
for n in $(seq $PLAIN); do save_record "plain-$n"; done
bench judge --planned --outcomes "$WORK/outcomes.jsonl" --records "$RECORDS"
ctl status
