#!/bin/sh
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
driver=$root/review/harness/target/release/jaspershunt-review
cd "$root" || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -x "$driver" ] && [ -n "$run" ] || exit 2
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
"$driver" retired --run "$run" --record "$here/record.txt" --tmp "$tmp"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
