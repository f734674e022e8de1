#!/usr/bin/env bash
# Plays one case: play.sh PROGRAM FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.."
program="target/review-3/$1"
if [ ! -x "$program" ] || [ ! -x target/pomeloloft ]; then
  echo "build first: the deploy file's build command, then review/build-2.sh" >&2
  exit 2
fi
timeout -k 1 118 "$program" "$2/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
