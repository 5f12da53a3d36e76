#!/bin/sh
# See claim.txt.
folder=$(dirname "$0")
exec "$folder/../stand-2/run-case.sh" "$folder" nested
