#!/usr/bin/env bash
# A backend deregisters and serves on; its node is killed and started again. A report that the backend
# sent before its deregistration arrives late, and the backend gets work again. Takes about 35 s.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
if [ ! -x target/galenad ] || [ ! -x target/review-standins ]; then
  echo "not built: run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
exec target/review-standins -case departed -galenad target/galenad -record review/3/record.txt -trouble="$trouble"
