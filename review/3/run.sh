#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
export TROUBLE="${TROUBLE:-1}"
dir=$(cd "$(dirname "$0")" && pwd)
driver="$dir/../build/case$(basename "$dir")"
[ -x "$driver" ] || { echo "run review/build.sh first"; exit 2; }
tmp=$(mktemp -d) || exit 2
"$driver" "$dir/../.." "$dir" "$tmp" &
driver_pid=$!
stop() {
  kill -9 "$driver_pid" $(cat "$tmp"/*.pid 2>/dev/null) 2>/dev/null
  rm -rf "$tmp"
  exit 2
}
trap stop TERM INT HUP
wait "$driver_pid"
code=$?
trap - TERM INT HUP
# A driver that failed leaves its router behind.
[ "$code" -le 2 ] || kill -9 $(cat "$tmp"/*.pid 2>/dev/null) 2>/dev/null
[ -z "${KEEP_LOG:-}" ] || cp "$tmp"/*.log "$KEEP_LOG"
rm -rf "$tmp"
[ "$code" -le 2 ] || code=2
exit "$code"
