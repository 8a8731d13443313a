#!/usr/bin/env bash
# Sends drafts whose 28th prompt part crashes servers. Exit status: 1 broken, 0 held,
# 2 could not run. TROUBLE=0 leaves the disturbance out. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/stand2 ] && [ -x target/primrosetally-fleet ] || exit 2
exec target/stand2 later-part review/10
