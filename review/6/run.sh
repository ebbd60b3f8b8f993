#!/bin/sh
# Plays the case and judges it: 1 broken, 0 held, 2 could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec sh review/stand-ins-2/play.sh review/6
