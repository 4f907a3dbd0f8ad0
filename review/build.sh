#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They use the standard library alone, so
# that it needs no network and no module.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
GOWORK=off go build -o target/review/stand review/stand/*.go
