#!/usr/bin/env bash
# Builds everything into build/ (or the folder in BUILD_DIR). Further arguments go to cmake.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja "$@" > "$build.configure.log" 2>&1 || { cat "$build.configure.log" >&2; exit 1; }
rm -f "$build.configure.log"
cmake --build "$build" -j "${JOBS:-$(nproc)}"
