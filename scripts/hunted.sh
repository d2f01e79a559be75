#!/usr/bin/env bash
# Lists the days in the journal's hunt entries that broke a rule, had a fault or
# missed the gate, and prints for each entry the number of days and of those
# listed.
# Usage: scripts/hunted.sh [SINCE]
# SINCE is a prefix of entry names, like 20261203T09; earlier entries are skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
since=${1:-}
for f in journal/2*.json; do
  name=$(basename "$f")
  [[ "$name" > "$since" ]] || continue
  grep -q '"cmd":"hunt"' "$f" || continue
  # The entry of a hunt that was ended early has neither a site nor days.
  site=$(grep -oE '"site":"[^"]*"' "$f" | head -1 | cut -d'"' -f4) || continue
  { grep -oE '"name":"[^"]*","day"|"rules":\{[^}]*\}|"fault":("[^"]*"|null)|"gate":(true|false),"short":\[[^]]*\]' "$f" || true; } |
    awk -v entry="${name%.json}" -v site="$site" '
      /^"name"/  { split($0, p, "\""); day = p[4] }
      /^"rules"/ { rules = $0 }
      /^"fault"/ { fault = $0 }
      /^"gate"/  {
        days++
        if (rules != "\"rules\":{}" || fault != "\"fault\":null" || $0 != "\"gate\":true,\"short\":[]") {
          bad++
          print entry, site, day ": " rules, fault, $0
        }
      }
      END { if (days) printf "%s %s: %d days, %d to look at\n", entry, site, days, bad }'
done
