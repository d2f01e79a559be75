#!/usr/bin/env bash
# Runs the days under bench/days/ on the sites in SITES with the users' bench, if
# that is present. Lists the runs in which a rule was broken, a fault occurred or
# the day couldn't be run. JOBS runs go on at the same time.
set -u
cd "$(dirname "$0")/.."
kit=${KIT:-../given/kit/more/system}
program=${PROGRAM:-$kit/more/bench-cc6490/bin/fleetbench}
sites=${SITES:-"$kit/sites/jvr-feeds.toml $kit/sites/halen-dwfn.toml $kit/further/korovou-flow.toml"}
[ -x "$program" ] || { echo "the bench isn't here: $program"; exit 2; }
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
play() {
  local site=$1 day=$2 file
  file="$3/$(basename "$site" .toml)-$(basename "$day" .toml)"
  timeout 300 "$4" run "$site" "$day" --jobs 1 >"$file" 2>&1 || echo "exit $?" >>"$file"
}
export -f play
"$program" build >/dev/null || exit 1
for site in $sites; do
  for day in ${DAYS:-bench/days/*.toml}; do printf '%s\0%s\0' "$site" "$day"; done
done | xargs -0 -n 2 -P "${JOBS:-4}" bash -c 'play "$0" "$1" '"'$out' '$program'"
bad=0
for f in "$out"/*; do
  line=$(grep -m1 -E '^[a-z0-9_-]+ +[0-9]+/[0-9]+ ' "$f")
  if [ -z "$line" ] || grep -qE 'BROKEN|FAULT|rules broken|^exit' "$f"; then
    bad=$((bad + 1))
    printf 'BAD %s\n' "$(basename "$f")"
    grep -E 'rules broken|BROKEN|fault|^exit|error|unknown' "$f" | cut -c1-200 | head -4
  else
    printf '%-50s %s\n' "$(basename "$f")" "$(echo "$line" | awk '{print "worth", $4, "served", $5, "refused", $6, "failed", $7}')"
  fi
done
echo "$bad bad of $(ls "$out" | wc -l)"
[ "$bad" = 0 ]
