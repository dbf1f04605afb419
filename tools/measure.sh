#!/usr/bin/env bash
# Runs every build/measure_* binary and writes its standard output to the page in docs/measurements/ named after it.
#   tools/measure.sh               all measurements
#   tools/measure.sh NAME...       only these, for example: fairness limits
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
mkdir -p docs/measurements
if [ $# -gt 0 ]; then
  binaries=("${@/#/$build/measure_}")
else
  mapfile -t binaries < <(find "$build" -maxdepth 1 -type f -name 'measure_*' -perm -u+x | sort)
fi
for binary in "${binaries[@]}"; do
  name=${binary##*/measure_}
  name=${name//_/-}
  echo "$binary -> docs/measurements/$name.md"
  # A failed run must not replace the page of the last good one.
  "$binary" > "$build/$name.md.new"
  mv "$build/$name.md.new" "docs/measurements/$name.md"
done
