#!/bin/sh
# Builds the stand-ins that the scripts in review/4 and later start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/stand-2 review/stand-2/*.go
