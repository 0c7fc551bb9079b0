#!/usr/bin/env bash
# Runs a case: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
[ -x target/release/knapweedrilld ] && [ -x target/review/site ] || {
    echo "NOT RUN: build the programs of the deploy file, and run review/build.sh"
    exit 2
}
exec target/review/site "$1" "$2" target/release/knapweedrilld
