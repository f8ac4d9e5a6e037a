#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs that need only the standard library.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
command -v python3 > /dev/null
for source in "$here"/standins/*.py "$here"/[1-5]/*.py; do
    [ -e "$source" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$source"
done
