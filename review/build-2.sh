#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start beside the project's own programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2 review/.standins-2/*.go
