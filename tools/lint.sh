#!/usr/bin/env bash
# Checks formatting and runs the linter. tools/lint.sh --fix formats in place and skips the linter.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard 'include/*.hpp' 'platform/*.[ch]pp' 'src/*.[ch]pp' 'apps/*.[ch]pp' 'standins/*.[ch]pp' \
  'measure/*.[ch]pp' 'examples/*.[ch]pp' 'tests/*.[ch]pp')
if [ "${1:-}" = --fix ]; then
  clang-format -i "${sources[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${sources[@]}"
# rc::check only returns whether the property held; a test that drops the result passes whatever it finds.
if grep -nE '^[[:space:]]*rc::check\(' "${sources[@]}"; then
  echo "property without CHECK(...) around it" >&2
  exit 1
fi
[ -e build/compile_commands.json ] || tools/build.sh
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$' | grep -v '^tests/')
# clang-tidy 14 knows coroutines, but neither its headers' test macro nor Asio's say so for it.
coroutines=(--extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1
  --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1)
printf '%s\n' "${units[@]}" | xargs -P "${JOBS:-$(nproc)}" -n 1 clang-tidy -p build --quiet "${coroutines[@]}"
