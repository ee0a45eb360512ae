#!/usr/bin/env bash
# Measures a real entry daemon that is connected to stand-in peers, at several
# shares of the target size. It needs bin/measure and bin/verbenaspurd, and writes
# its results to standard output. FORM=--canonical applies the manifest in its
# canonical form.
set -euo pipefail
cd "$(dirname "$0")/../.."
RUN=$(mktemp -d)
trap 'rm -rf "$RUN"' EXIT

for share in "${@:-0.125 0.25 0.5 1}"; do
  for s in $share; do
    dir="$RUN/$s"
    mkdir -p "$dir"
    bin/measure daemon --share "$s" --dir "$dir" ${FORM:-} >"$dir/result" &
    measure=$!
    until [ -f "$dir/daemon.yaml" ]; do
      kill -0 "$measure"
      sleep 0.2
    done
    bin/verbenaspurd --settings "$dir/daemon.yaml" >"$dir/daemon.log" 2>&1 &
    daemon=$!
    echo "$daemon" >"$dir/daemon.pid"
    wait "$measure" || { tail -5 "$dir/daemon.log" >&2; kill -TERM "$daemon"; exit 1; }
    kill -KILL "$daemon"
    wait "$daemon" 2>/dev/null || true
    cat "$dir/result"
  done
done
