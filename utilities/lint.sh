#!/usr/bin/env bash
# Usage: lint.sh [DIRECTORY [FILE…]]. Runs clang-tidy with the compile commands of DIRECTORY (build by default).
set -euo pipefail
cd "$(dirname "$0")/.."
directory=${1:-build}
files=("${@:2}")
if [ "${#files[@]}" -eq 0 ]; then
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy -p "$directory" --quiet
