#!/usr/bin/env bash
# Plays the case. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out. The program of the deploy file and review/build-2.sh
# must have been built before.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
target=$here/../../target
[ -x "$target/waxwingpost" ] && [ -x "$target/standins-2" ] || { echo "build first" >&2; exit 2; }
exec "$target/standins-2" removed "$target/waxwingpost" "$here/record.txt"
