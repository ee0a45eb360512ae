#!/usr/bin/env bash
# Starts all processes on loopback, runs the demo's requests and checks the
# answers. Exits with 0 only if every answer was correct.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/bin
RUN=${RUN:-$PWD/run/demo}
source demo/processes.sh
trap stop_all EXIT

start_all
await_url http://127.0.1.1:9100/healthz
await_url http://127.0.1.2:9100/healthz
ctl validate examples/demo.yaml
ctl apply examples/demo.yaml
await_url http://127.0.1.1:9100/readyz
await_url http://127.0.1.2:9100/readyz
"$BIN/check" --entry http://127.0.1.1:8080 --entry http://127.0.1.2:8080 \
  --engine http://127.0.2.1:7100 --engine http://127.0.2.2:7100 --engine http://127.0.2.3:7100 \
  --service http://127.0.2.4:7200 --platform "http://$PLATFORM" \
  --operator-token "$OPERATOR_TOKEN" --manifest examples/demo.yaml
ctl usage --account township-a
ctl status >/dev/null
ctl history
echo "demo: decisions of entry e1:"
grep -hE 'msg="?(route|fleet|claim|lease): ' "$RUN/e1.log" | tail -n 20
"$BIN/verbenaspurctl" replay "$RUN/e1.trace"
stop_all
echo "demo: all answers were right"
