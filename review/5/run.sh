#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
case=target/review/case-$(basename "$here")
[ -x "$case" ] || { echo "review/build.sh has to run before" >&2; exit 2; }
exec "$case" "$here/record.txt"
