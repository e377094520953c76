#!/usr/bin/env bash
# Exits with 1 if a rule was broken, 0 if all held, 2 if the case could not run. TROUBLE=0: without the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/shalewick-edge ] || [ ! -x target/review-3 ]; then
  bash review/build.sh >&2 || exit 2
fi
exec target/review-3
