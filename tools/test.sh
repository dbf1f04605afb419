#!/usr/bin/env bash
# Builds and runs all tests.
#   tools/test.sh                 all tests, fixed seeds
#   tools/test.sh --seed N        property tests with another seed and 20 times as many cases
#   tools/test.sh --only REGEX    tests whose name matches
#   tools/test.sh --no-sanitizers without the sanitizer builds
set -euo pipefail
cd "$(dirname "$0")/.."
only='.*'
sanitizers=1
seed=''
while [ $# -gt 0 ]; do
  case $1 in
    --seed) seed=$2; shift 2 ;;
    --only) only=$2; shift 2 ;;
    --no-sanitizers) sanitizers=0; shift ;;
    *) echo "unknown argument $1; see the head of tools/test.sh" >&2; exit 2 ;;
  esac
done
if [ -n "$seed" ]; then
  export AUBURNCHUTE_RC_PARAMS="seed=$seed max_success=4000"
fi
known_red=()
if [ -s KNOWN-RED.txt ]; then
  # The first field of each entry is the test's name as ctest prints it.
  mapfile -t known_red < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
run_tests() { # folder
  local exclude=()
  if [ "${#known_red[@]}" -gt 0 ]; then
    local pattern
    pattern=$(printf '%s\n' "${known_red[@]}" | sed 's/[][\.*^$(){}?+|/]/\\&/g' | paste -sd'|')
    printf 'known red, not run: %s\n' "${known_red[@]}"
    exclude=(-E "^($pattern)\$")
  fi
  ctest --test-dir "$1" --output-on-failure --no-tests=error -j "${JOBS:-$(nproc)}" -R "$only" "${exclude[@]}"
}
tools/build.sh
if [ "$sanitizers" -eq 1 ]; then
  for sanitizer in address thread; do
    BUILD_DIR=build-$sanitizer tools/build.sh -DAUBURNCHUTE_SANITIZE=$sanitizer -DAUBURNCHUTE_DECISIONS_ONLY=ON
    run_tests "build-$sanitizer"
  done
fi
run_tests build
