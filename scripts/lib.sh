# Helpers of the scripts that run pomelospool as separate processes on
# loopback. Every process started here is ended by its own id.
set -euo pipefail

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN=$ROOT/bin
WORK=$(mktemp -d)
declare -A PIDS=()

LOG_ADDR=127.0.0.1:17000
VMS_ADDR=127.0.0.1:17001
WEIGHTS_ADDR=127.0.0.1:17002
export POMELOS_LOG=http://$LOG_ADDR

# start NAME COMMAND... runs a process and remembers its id.
start() {
  local name=$1
  shift
  "$@" >"$WORK/$name.out" 2>"$WORK/$name.log" &
  PIDS[$name]=$!
}

# stop NAME SIGNAL ends one process and waits for it.
stop() {
  local pid=${PIDS[$1]:-}
  [ -n "$pid" ] || return 0
  unset "PIDS[$1]"
  kill -"$2" "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
}

# send NAME SIGNAL sends a signal and goes on.
send() { kill -"$2" "${PIDS[$1]}"; }

cleanup() {
  local name
  for name in "${!PIDS[@]}"; do kill -CONT "${PIDS[$name]}" 2>/dev/null || true; done
  for name in "${!PIDS[@]}"; do stop "$name" KILL; done
  [ -n "${KEEP:-}" ] && echo "kept $WORK" || rm -rf "$WORK"
}
trap cleanup EXIT

# until_ok SECONDS COMMAND... repeats a command until it succeeds.
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

# daemon_settings N ZONE writes the settings of daemon N and prints the file.
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

# start_platform VM... starts the platform's stand-ins with a VM list.
start_platform() {
  local vm args=()
  for vm in "$@"; do args+=(--vm "$vm"); done
  start log "$BIN/pomelostandin" log --listen $LOG_ADDR
  start vms "$BIN/pomelostandin" vms --listen $VMS_ADDR "${args[@]}"
  start weights "$BIN/pomelostandin" weights --listen $WEIGHTS_ADDR --size 200000000 --rate 1e9
}

# start_engine N starts model engine N.
start_engine() {
  start "engine-$1" "$BIN/pomelostandin" engine --listen "127.0.2.$1:17200" --name "engine-$1" \
    --weights "http://$WEIGHTS_ADDR" --role-change 1s --checks-fence
}

# start_plain N starts plain service N.
start_plain() { start "plain-$1" "$BIN/pomelostandin" plain --listen "127.0.3.$1:17300" --name "plain-$1" --latency 5ms; }

ctl() { "$BIN/pomelosctl" "$@"; }

# use_daemons N... names the daemons to pomelosctl.
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
