#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
export TROUBLE="${TROUBLE:-1}"
dir=$(cd "$(dirname "$0")" && pwd)
driver="$dir/../build/case$(basename "$dir")"
[ -x "$driver" ] || { echo "run review/build.sh first"; exit 2; }
tmp=$(mktemp -d) || exit 2
"$driver" "$dir/../.." "$dir" "$tmp"
code=$?
[ -z "${KEEP_LOG:-}" ] || cp "$tmp"/*.log "$KEEP_LOG"
rm -rf "$tmp"
[ "$code" -le 2 ] || code=2
exit "$code"
