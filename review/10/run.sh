#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x build-review-2/large_version ] && [ -x target/auburnchute-entry ] || { echo "build first: deploy file and review/build-2.sh" >&2; exit 2; }
exec build-review-2/large_version review/10/record.txt
