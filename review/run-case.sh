#!/usr/bin/env bash
# Runs the case $1 and writes its record to $2. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case couldn't run. All processes of the case are in one group, which is ended however it ends.
set -um
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
[[ -x target/review/rig && -x target/release/dandelionspool-platform ]] || exit 2
folder=$(mktemp -d) || exit 2
group=
finish() {
  [[ -n $group ]] && kill -KILL -- "-$group" 2> /dev/null
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
TMPDIR=$folder RIG_GROUP=1 target/review/rig "$1" "$2" < /dev/null &
group=$!
wait "$group"
outcome=$?
# Anything but an outcome of the case, a signal for instance, means that it couldn't run.
[[ $outcome == [01] ]] || outcome=2
exit "$outcome"
