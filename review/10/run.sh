#!/bin/sh
# Plays case 10, after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=review/harness-2/target/release/review-cases-2
[ -x "$program" ] && [ -x target/release/jaspershunt ] || { echo "build first: see review/build-2.sh" >&2; exit 2; }
exec "$program" edit-at-replaced "$here/record.txt"
