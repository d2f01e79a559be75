# Helpers for scripts that run pomelospool as separate processes on loopback.
# Each process that is started here is ended by its process id.
set -euo pipefail

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN=${BIN:-$ROOT/bin}
WORK=$(mktemp -d)
declare -A PIDS=()

LOG_ADDR=127.0.0.1:17000
VMS_ADDR=127.0.0.1:17001
WEIGHTS_ADDR=127.0.0.1:17002
export POMELOS_LOG=http://$LOG_ADDR

# start NAME COMMAND... starts a process in the background and records its id.
start() {
  local name=$1
  shift
  "$@" >"$WORK/$name.out" 2>"$WORK/$name.log" &
  PIDS[$name]=$!
}

# stop NAME SIGNAL sends a signal to a process and waits for its exit.
stop() {
  local pid=${PIDS[$1]:-}
  [ -n "$pid" ] || return 0
  unset "PIDS[$1]"
  kill -"$2" "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
}

# send NAME SIGNAL sends a signal to a process without waiting for its exit.
send() { kill -"$2" "${PIDS[$1]}"; }

cleanup() {
  local name
  for name in "${!PIDS[@]}"; do kill -CONT "${PIDS[$name]}" 2>/dev/null || true; done
  for name in "${!PIDS[@]}"; do stop "$name" KILL; done
  [ -n "${KEEP:-}" ] && echo "kept $WORK" || rm -rf "$WORK"
}
trap cleanup EXIT

# until_ok SECONDS COMMAND... repeats a command until it succeeds. It fails after
# SECONDS.
until_ok() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $end ]; then
      echo "gave up waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

# daemon_settings N ZONE writes the settings of daemon N and prints their path.
daemon_settings() {
  cat >"$WORK/daemon-$1.yaml" <<YAML
vm: entry-$1
zone: $2
listen: {callers: "127.0.1.$1:17100", peers: "127.0.1.$1:17101", operators: "127.0.1.$1:17102"}
platform: {log: "http://$LOG_ADDR", vms: "http://$VMS_ADDR", weights: "http://$WEIGHTS_ADDR"}
control: {address_ttl: 1s}
YAML
  echo "$WORK/daemon-$1.yaml"
}

# start_daemon N ZONE starts daemon N.
start_daemon() { start "daemon-$1" "$BIN/pomelospoold" --settings "$(daemon_settings "$1" "$2")"; }

# start_platform VM... starts the stand-ins of the platform with the VMs listed.
start_platform() {
  local vm args=()
  for vm in "$@"; do args+=(--vm "$vm"); done
  start log "$BIN/pomelostandin" log --listen $LOG_ADDR
  start vms "$BIN/pomelostandin" vms --listen $VMS_ADDR "${args[@]}"
  start weights "$BIN/pomelostandin" weights --listen $WEIGHTS_ADDR --size 200000000 --rate 1e9
}

# start_engine N starts model engine N. Engines listed in UNFENCED ignore the
# fencing numbers of orders, as the engines of some deployments do.
UNFENCED=" "
start_engine() {
  local fence=(--checks-fence)
  [[ $UNFENCED != *" $1 "* ]] || fence=()
  start "engine-$1" "$BIN/pomelostandin" engine --listen "127.0.2.$1:17200" --name "engine-$1" \
    --weights "http://$WEIGHTS_ADDR" --role-change 1s "${fence[@]}"
}

# start_plain N starts plain service N.
start_plain() { start "plain-$1" "$BIN/pomelostandin" plain --listen "127.0.3.$1:17300" --name "plain-$1" --latency 5ms; }

ctl() { "$BIN/pomelosctl" "$@"; }

bench() { "$BIN/pomelosbench" "$@"; }

# start_fleet DAEMONS ENGINES PLAIN starts the platform and the given numbers of
# processes in three availability zones, and waits until the daemons are alive.
start_fleet() {
  local n vms=()
  for n in $(seq "$1"); do vms+=("entry-$n=127.0.1.$n@$(zone "$n")"); done
  for n in $(seq "$2"); do vms+=("engine-$n=127.0.2.$n@$(zone "$n")"); done
  for n in $(seq "$3"); do vms+=("plain-$n=127.0.3.$n@$(zone "$n")"); done
  start_platform "${vms[@]}"
  for n in $(seq "$2"); do start_engine "$n"; done
  for n in $(seq "$3"); do start_plain "$n"; done
  bench get --wait 10s "http://$LOG_ADDR/_standin/record" >/dev/null
  bench get --wait 10s "http://$VMS_ADDR/vms" >/dev/null
  for n in $(seq "$1"); do start_daemon "$n" "$(zone "$n")"; done
  for n in $(seq "$1"); do bench get --wait 10s "http://127.0.1.$n:17102/healthz" >/dev/null; done
  # shellcheck disable=SC2046 # a list of numbers
  use_daemons $(seq "$1")
}

# zone N prints the availability zone of the N-th process of a kind.
zone() {
  local zones=(zone-a zone-b zone-c)
  echo "${zones[$((($1 - 1) % 3))]}"
}

# publish_all DAEMONS ENGINES FILE... publishes documents and waits until all
# daemons are ready and all engines have loaded their model.
publish_all() {
  local n daemons=$1 engines=$2 f
  shift 2
  for f in "$@"; do ctl publish "$f"; done
  for n in $(seq "$daemons"); do bench get --wait 15s "http://127.0.1.$n:17102/readyz" >/dev/null; done
  for n in $(seq "$engines"); do wait_engine "$n" >/dev/null; done
}

# wait_engine N waits until engine N has carried out an order.
wait_engine() {
  bench get --wait 20s --has 'changing":false' --has 'last_order":"order' "http://127.0.2.$1:17200/control/state"
}

# save_record NAME saves the current record of a stand-in in $RECORDS.
RECORDS=$WORK/records
mkdir -p "$RECORDS"
declare -A LIVES=()
save_record() {
  bench get --wait 5s "http://$(address "$1")/_standin/record" >"$RECORDS/$1.${LIVES[$1]:-0}.json"
}

# address NAME prints the host and port of a stand-in.
address() {
  case $1 in
  log) echo "$LOG_ADDR" ;;
  engine-*) echo "127.0.2.${1#engine-}:17200" ;;
  plain-*) echo "127.0.3.${1#plain-}:17300" ;;
  esac
}

# again NAME waits for the exit of a process and starts it again.
again() {
  local n=${1##*-}
  if [ -n "${PIDS[$1]:-}" ]; then
    wait "${PIDS[$1]}" 2>/dev/null || true
    unset "PIDS[$1]"
  fi
  LIVES[$1]=$((${LIVES[$1]:-0} + 1))
  case $1 in
  daemon-*) start_daemon "$n" "$(zone "$n")" ;;
  engine-*) start_engine "$n" ;;
  esac
}

# ended NAME waits for the exit of a process that was asked to stop. It fails if
# the exit code isn't 0.
ended() {
  local pid=${PIDS[$1]}
  unset "PIDS[$1]"
  wait "$pid" || { echo "$1 exited $?" >&2; return 1; }
}

# use_daemons N... sets the daemons that pomelosctl uses.
use_daemons() {
  local n ops=() callers=()
  for n in "$@"; do
    ops+=("127.0.1.$n:17102")
    callers+=("127.0.1.$n:17100")
  done
  POMELOS_DAEMONS=$(IFS=,; echo "${ops[*]}")
  POMELOS_CALLERS=$(IFS=,; echo "${callers[*]}")
  export POMELOS_DAEMONS POMELOS_CALLERS
}
