#!/bin/sh
# The only engine of a service that gets a tenth of a route's items crashes for good.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/croftmoor ] && [ -x target/stand-2 ] || { echo "run the build of deploy/system.toml and review/build-2.sh first"; exit 2; }
exec target/stand-2 split review/7
