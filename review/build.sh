#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/ into target/review/. Needs g++ and nlohmann-json3-dev, which the
# build of the deploy file needs too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cpp)" "$source"
done
