#!/bin/sh
# Builds nothing: needs the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/Takeover.class ] && [ -f target/dandelionpoint.jar ] || exit 2
exec java -cp target/review-2 Takeover review/9
