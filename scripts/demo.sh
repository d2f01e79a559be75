#!/usr/bin/env bash
# Demonstrates the system as separate processes on loopback: three daemons in
# three availability zones, three model engines and two plain services. One
# daemon and one engine are killed under load. The script ends by itself.
source "$(dirname "$0")/lib.sh"

step() { printf '\n== %s\n' "$1"; }

step "start log, VM list, weight store, 3 engines, 2 plain services, 3 daemons"
start_fleet 3 3 2

step "publish both deployments' documents"
publish_all 3 3 "$ROOT"/examples/demo/*.yaml
ctl status

step "one streamed answer, one departure board, one confirmation"
ctl call --model timetable-8b --max-tokens 12 "When does the ferry to Hvar leave?"
ctl call --service jadranski-feed --path /boards/split --data '{"board":"split"}'
ctl call --service halen-application --path /confirmations --key ticket-1 --data '{"ticket":1}'
echo "-- the same key again, which must not run again:"
ctl call --service halen-application --path /confirmations --key ticket-1 --data '{"ticket":1}'

step "what the path adds to a call of the engine itself"
bench added-latency --daemon 127.0.1.1:17100 --engine "$(address engine-1)"

step "load: streams, boards and confirmations; daemon 2 and engine 2 are killed in the middle"
bench chaos-load --duration 8s --streams 12 --feed-rate 12 --once-rate 8 --out "$WORK/outcomes.jsonl" &
LOAD=$!
sleep 2.5
stop daemon-2 KILL
echo "killed daemon-2"
sleep 1
save_record engine-2
stop engine-2 KILL
echo "killed engine-2"
wait $LOAD

step "what callers and targets recorded"
for name in engine-1 engine-3 plain-1 plain-2; do save_record $name; done
bench judge --outcomes "$WORK/outcomes.jsonl" --records "$RECORDS"
ctl status || true # daemon-2 isn't running

step "planned stop of what is left"
for n in 1 3; do send "daemon-$n" TERM; done
for n in 1 3; do
  ended "daemon-$n"
  echo "daemon-$n exited 0"
done
