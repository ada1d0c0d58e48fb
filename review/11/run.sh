#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs it without the disruptions.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-3/LeftBehind.class ] || { echo "run review/build-3.sh first" >&2; exit 2; }
exec java -Xmx256m -cp target/review-3 LeftBehind "$PWD" "$PWD/review/11/record.txt"
