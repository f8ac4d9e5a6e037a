#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the daemon. Their stand-ins are Python, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
