#!/bin/sh
# Runs a case: run-case.sh FOLDER CASE. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$1" && pwd)
ROOT=$(cd "$folder/../.." && pwd)
WORK=$(mktemp -d)
RECORD="$folder/record.txt"
export ROOT WORK RECORD
# Ends what the case has started and is still there: processes of its list whose variables name its folder.
clean() {
    if [ -f "$WORK/pids" ]; then
        while read -r pid; do
            [ -r "/proc/$pid/environ" ] || continue
            if tr '\0' '\n' <"/proc/$pid/environ" | grep -qF "TMPDIR=$WORK/"; then kill -9 "$pid"; fi
        done <"$WORK/pids"
    fi
    rm -rf "$WORK"
}
trap 'kill "$stand" 2>/dev/null; clean; exit 2' INT TERM HUP
[ -x "$ROOT/target/release/sagearch" ] && [ -x "$ROOT/target/review-2/stand" ] || { echo "not built"; clean; exit 2; }
"$ROOT/target/review-2/stand" "$2" &
stand=$!
wait "$stand"
code=$?
clean
[ "$code" -le 2 ] || code=2
exit "$code"
