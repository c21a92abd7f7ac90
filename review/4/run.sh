#!/usr/bin/env bash
# Stops the seven nodes of a zone, nine times, while clients send letters through them. Takes about 105 s.
# Exit: 0 held, 1 broken, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2 ] || { echo "target/review2 is not built: run review/build-2.sh" >&2; exit 2; }
exec target/review2 stop review/4/record.txt
