#!/usr/bin/env bash
# A backend joins and leaves while the store leaves one write without an answer and does it late; then its
# node is killed and starts again. Exit: 0 held, 1 broken, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2 ] || { echo "target/review2 is not built: run review/build-2.sh" >&2; exit 2; }
exec target/review2 departure review/6/record.txt
