#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15. They are Python scripts, so that nothing is compiled: this only checks
# that they can be read, and that the program of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")"
for source in standins-3/*.py 1[1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$source"
done
test -x ../target/src/bronzechuted
