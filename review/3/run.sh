#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/Case3.class ] || sh review/build.sh || exit 2
timeout -k 2 120 java -Xmx512m -cp "target/lib/*:target/review" Case3
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
