#!/usr/bin/env bash
# Clients upload large bodies, three at once, through machines of 184 MB. Exit: 0 held, 1 broken, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2 ] || { echo "target/review2 is not built: run review/build-2.sh" >&2; exit 2; }
exec target/review2 memory review/7/record.txt
