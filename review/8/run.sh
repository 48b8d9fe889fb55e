#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/reedmast.jar ] || [ ! -f target/review-2/Case8.class ]; then
    echo "run the build of deploy/service.toml and review/build-2.sh first" >&2
    exit 2
fi
exec java -Xmx1g -Dproject=. -cp target/review-2 Case8 review/8/record.txt
