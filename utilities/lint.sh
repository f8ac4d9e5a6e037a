#!/usr/bin/env bash
# Usage: lint.sh [DIRECTORY [FILE…]]. Runs clang-tidy over all sources, or the files, with compile commands that it
# writes into DIRECTORY (build-lint by default).
set -euo pipefail
cd "$(dirname "$0")/.."
directory=${1:-build-lint}
cmake -S . -B "$directory" -G Ninja > /dev/null
files=("${@:2}")
if [ "${#files[@]}" -eq 0 ]; then
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp')
fi
utilities/lint_batches.py "$directory" "${files[@]}"
