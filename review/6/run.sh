#!/bin/sh
# Plays case 6. Exit: 1 the rule was broken, 0 it held, 2 it could not run. TROUBLE=0 leaves the disruption out.
# It wants what the build line of deploy/system.toml and review/build-2.sh build.
cd "$(dirname "$0")/../.." || exit 2
for program in target/elmfold-proxy target/elmfold-controlplane target/standin2; do
	[ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec target/standin2 6 target review/6 "${TROUBLE:-1}"
