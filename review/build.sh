#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/ (as the build of
# the deploy file does with the project's own program). It needs no network: the stand-ins
# use Go's standard library only. They are test code, in a module of their own.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS="-mod=mod -buildvcs=false" GOWORK=off go test -c -o ../../target/review-standin .
