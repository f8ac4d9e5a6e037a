#!/usr/bin/env bash
# Usage: format.sh [--check]. Formats every source file, or reports the files that are not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
if [ "${1:-}" = --check ]; then
    clang-format --dry-run --Werror "${files[@]}"
else
    clang-format -i "${files[@]}"
fi
