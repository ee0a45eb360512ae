#!/usr/bin/env bash
# Exits with 1 if the platform got a lower fencing token after a higher one, with 0 if it did not, and
# with 2 if the case could not run. With TROUBLE=0 nothing is cut.
set -u
cd "$(dirname "$0")/../.." || exit 2
for p in target/verbenaspurd target/review-2-standin; do
  [ -x "$p" ] || { echo "$p is missing: run the build of the deploy file and review/build-2.sh" >&2; exit 2; }
done
exec target/review-2-standin fence review/8/record.txt
