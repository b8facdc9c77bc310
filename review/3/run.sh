#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
# Needs the build of the deploy file and review/build.sh. Writes record.txt beside itself.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
[ -x ../bin/kit ] && [ -x "$root/target/release/rockpick" ] || { echo "build first" >&2; exit 2; }
exec ../bin/kit drain "$root" "$PWD"
