#!/bin/sh
# Plays the case RepushedJobCase; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
here=$(pwd)
root=$(cd ../.. && pwd)
[ -f "$root/target/damsonslip.jar" ] || { echo "build the program first" >&2; exit 2; }
[ -f ../build/Case.class ] || ../build.sh || exit 2
exec java -cp ../build RepushedJobCase "$root" "$here"
