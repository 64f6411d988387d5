#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. The build of the deploy file and review/build.sh have to run before.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../run-case.sh" many-timeouts "$here/record.txt"
