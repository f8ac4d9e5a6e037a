#!/usr/bin/env bash
# Usage: build.sh [DIRECTORY [CMAKE OPTION…]]. Configures and builds into DIRECTORY (build by default).
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
"$top/utilities/setup.sh"
directory=${1:-$top/build}
[ $# -gt 0 ] && shift
cmake -S "$top" -B "$directory" -G Ninja "$@" > /dev/null
cmake --build "$directory"
