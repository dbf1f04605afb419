#!/usr/bin/env bash
# Installs the Debian packages of tools/packages.txt that are missing. Retries, because mirrors can be busy.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < tools/packages.txt
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
for attempt in 1 2 3 4 5; do
  if "${as_root[@]}" apt-get update -q && "${as_root[@]}" env DEBIAN_FRONTEND=noninteractive \
      apt-get install -y -q --no-install-recommends "${missing[@]}"; then
    exit 0
  fi
  echo "apt attempt $attempt failed" >&2
  sleep $((attempt * 5))
done
echo "could not install: ${missing[*]}" >&2
exit 1
