#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Does nothing when all are installed.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
mapfile -t packages < "$here/packages.txt"
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
if [ "$(id -u)" -eq 0 ]; then run=(); else run=(sudo); fi
"${run[@]}" apt-get update -q
"${run[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
