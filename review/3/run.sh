#!/usr/bin/env bash
# Plays the case and checks its rule: exits with 1 if it was broken, 0 if it held, 2 if the case
# could not run. With TROUBLE=0 it does the same without the disruption. It needs the builds of
# deploy/system.toml and of review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/croftmoor ] || exit 2
exec target/review/stand crashes review/3/record.txt
