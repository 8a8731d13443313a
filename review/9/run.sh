#!/usr/bin/env bash
# Lets a route become anonymous while the key of its callers is taken away. Exit status: 1 broken, 0 held,
# 2 could not run. TROUBLE=0 leaves the disturbance out. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/stand2 ] && [ -x target/primrosetally-fleet ] || exit 2
exec target/stand2 keyless review/9
