#!/usr/bin/env bash
# Builds the programs of the cases in review/6 and after, with their stand-ins, into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/standins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra "$source" -o "build-review-2/$name" -pthread
done
