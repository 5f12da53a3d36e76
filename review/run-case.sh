#!/bin/sh
# Runs the case NAME of the folder FOLDER: run-case.sh NAME FOLDER. Exit code: 0 the rule held, 1 it was broken, 2 the case
# could not run. With TROUBLE=0 the disruption is left out.
root=$(cd "$(dirname "$0")/.." && pwd)
stand=$root/target/review/stand
if [ ! -x "$stand" ] || [ ! -x "$root/target/release/sagearch" ]; then
    echo "run the build of deploy/balancer.toml and review/build.sh first" >&2
    exit 2
fi
tmp=$(mktemp -d) || exit 2
# What the stand has started ends with it.
timeout -k 2 110 "$stand" "$1" "$root" "$tmp" "$2/record.txt"
code=$?
rm -rf "$tmp"
[ "$code" -le 1 ] || code=2
tail -n 1 "$2/record.txt"
exit "$code"
