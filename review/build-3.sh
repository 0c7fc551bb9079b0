#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 15. They are Python of the standard library alone and need no build.
# The scripts start the programs that the build line of the deploy file has built.
set -euo pipefail
cd "$(dirname "$0")"
python3 - stand-ins-3/standins.py 1[1-5]/case.py <<'END'
import ast
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
END
test -x ../target/release/knapweedrilld
