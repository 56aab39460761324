#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")/../.."
[ -d target/review-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec java -Xmx256m -cp target/review-2 StaleEngine review/9
