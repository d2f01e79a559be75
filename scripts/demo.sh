#!/usr/bin/env bash
# The whole path as separate processes on loopback: three daemons in three
# availability zones before three model engines and two plain services. In the
# middle of the load one daemon and one engine are killed. Ends by itself.
source "$(dirname "$0")/lib.sh"

step() { printf '\n== %s\n' "$1"; }

step "start log, VM list, weight store, 3 engines, 2 plain services, 3 daemons"
start_platform entry-1=127.0.1.1@zone-a entry-2=127.0.1.2@zone-b entry-3=127.0.1.3@zone-c \
  engine-1=127.0.2.1@zone-a engine-2=127.0.2.2@zone-b engine-3=127.0.2.3@zone-c \
  plain-1=127.0.3.1@zone-a plain-2=127.0.3.2@zone-b
for n in 1 2 3; do start_engine $n; done
for n in 1 2; do start_plain $n; done
until_ok 10 curl -sf "http://$LOG_ADDR/_standin/record"
until_ok 10 curl -sf "http://$VMS_ADDR/vms"
start_daemon 1 zone-a
start_daemon 2 zone-b
start_daemon 3 zone-c
use_daemons 1 2 3
for n in 1 2 3; do until_ok 10 curl -sf "http://127.0.1.$n:17102/healthz"; done

step "publish both deployments' documents"
for f in "$ROOT"/examples/demo/*.yaml; do ctl publish "$f"; done
for n in 1 2 3; do until_ok 15 curl -sf "http://127.0.1.$n:17102/readyz"; done
# The engines start without a model; the lease holders order them to load it.
models_loaded() {
  local n
  for n in 1 2 3; do
    curl -sf "http://127.0.2.$n:17200/control/state" | grep -q '"changing":false.*"last_order":"order' || return 1
  done
}
until_ok 20 models_loaded
ctl status

step "one streamed answer, one departure board, one confirmation"
ctl call --model timetable-8b --max-tokens 12 "When does the ferry to Hvar leave?"
ctl call --service jadranski-feed --path /boards/split --data '{"board":"split"}'
ctl call --service halen-application --path /confirmations --key ticket-1 --data '{"ticket":1}'
echo "-- the same key again, which must not run again:"
ctl call --service halen-application --path /confirmations --key ticket-1 --data '{"ticket":1}'

step "load: streams and confirmations; daemon 2 and engine 2 are killed in the middle"
ctl load --model timetable-8b --rate 12 --duration 8s --verify --json >"$WORK/load.json" 2>/dev/null &
LOAD=$!
confirmations() {
  local i
  for i in $(seq 1 60); do
    # A caller that doesn't know the outcome asks again with the same key.
    for _ in 1 2 3 4 5; do
      if ctl call --service halen-application --path /confirmations --key "c-$i" --data "{\"c\":$i}" >/dev/null 2>>"$WORK/calls.err"; then
        echo "$i answered"
        continue 2
      fi
      rc=$?
      [ $rc -eq 4 ] && break
      sleep 0.2
    done
    echo "$i code $rc"
  done
}
confirmations >"$WORK/calls.txt" &
CALLS=$!
sleep 2.5
stop daemon-2 KILL
echo "killed daemon-2"
sleep 1
stop engine-2 KILL
echo "killed engine-2"
wait $LOAD || true
wait $CALLS

step "what callers and targets recorded"
curl -sf "http://127.0.3.2:17300/_standin/record" >"$WORK/plain.json"
"$BIN/pomelosbench" demo --load "$WORK/load.json" --calls "$WORK/calls.txt" --record "$WORK/plain.json"
ctl status || true

step "planned stop of what is left"
for n in 1 3; do send "daemon-$n" TERM; done
for n in 1 3; do
  wait "${PIDS[daemon-$n]}" && echo "daemon-$n exited 0"
  unset "PIDS[daemon-$n]"
done
