#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/auburnchute-entry ] && [ -x target/review/deadly_stream ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
RECORD="$here/record.txt" TROUBLE="${TROUBLE:-1}" timeout --kill-after=5 100 target/review/deadly_stream "$folder" restart
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
