#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/knapweedrilld ] || [ ! -x target/review-2/stand-ins ]; then
    echo 'not built: run the build line of deploy/system.toml and review/build-2.sh' >&2
    exit 2
fi
target/review-2/stand-ins fraction-in-bounds review/10/record.txt &
script=$!
# Ends the processes of a script that is stopped from outside.
trap 'pkill -KILL -P "$script"; kill -KILL "$script"; exit 2' INT TERM
wait "$script"
