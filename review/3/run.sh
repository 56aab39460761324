#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves out the disruption, any other value or none includes it.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/cicadaarch.jar ] && [ -d review/target/classes ] || { echo "build first: deploy file, review/build.sh" >&2; exit 2; }
if [ "${TROUBLE:-1}" = 0 ]; then trouble=without-trouble; else trouble=with-trouble; fi
exec java -Xmx512m -cp review/target/classes standin.Smuggled review/3/record.txt "$trouble"
