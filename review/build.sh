#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The nodes come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standins ./review/.standins
