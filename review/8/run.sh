#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/burlridge.jar ] || [ ! -d target/review-2 ]; then
  echo "COULD NOT RUN: build with the command of deploy/service.toml and review/build-2.sh first"
  exit 2
fi
exec java -cp 'target/review-2:target/lib/*' review2.DoneCount review/8
