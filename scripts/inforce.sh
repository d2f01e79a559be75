#!/usr/bin/env bash
# Measures the time from the start of a publish until the version is in force on
# all four daemons, which run as separate processes. It makes 20 publishes and
# takes about 15 s.
source "$(dirname "$0")/lib.sh"

ROUNDS=20

start_platform entry-1=127.0.1.1@zone-a entry-2=127.0.1.2@zone-b entry-3=127.0.1.3@zone-c entry-4=127.0.1.4@zone-a
start_plain 1
for n in 1 2 3 4; do start_daemon "$n" zone-a; done
use_daemons 1 2 3 4
for n in 1 2 3 4; do until_ok 10 "$BIN/pomelosbench" get "http://127.0.1.$n:17102/healthz"; done
until_ok 10 sh -c "$BIN/pomelosctl status | grep -c ' 3/3 ' | grep -qx 4"

for i in $(seq 1 $ROUNDS); do
  sed "s/answer: 2s/answer: ${i}s/" "$ROOT/examples/demo/jadranski-feed.yaml" >"$WORK/feed.yaml"
  began=$(date +%s%N)
  version=$(ctl publish "$WORK/feed.yaml" | sed -E 's/.*version ([0-9]+).*/\1/')
  until_ok 15 sh -c "$BIN/pomelosctl status | grep -q 'version $version of jadranski-feed in force on 4 of 4'"
  echo $((($(date +%s%N) - began) / 1000000))
done | sort -n | awk '{v[NR]=$1} END {printf "%d publishes in force on 4 of 4 daemons after: median %d ms, most %d ms\n", NR, v[int((NR+1)/2)], v[NR]}'
