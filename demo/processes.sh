# Shell functions that start the demo's processes on loopback and stop them by
# process ID. Each host has its own IP address in 127.0.0.0/8.
#
# run.sh, serve.sh and drill.sh source this file with RUN set to the directory
# for settings, certificates and logs, and BIN to the directory of the programs.

PLATFORM=127.0.0.1:7000
ENTRIES=("e1 fd-a 127.0.1.1" "e2 fd-b 127.0.1.2")
ENGINES=("t1 fd-a 127.0.2.1 engine-1" "t2 fd-a 127.0.2.2 engine-2" "t3 fd-b 127.0.2.3 engine-3")
SERVICES=("t4 fd-a 127.0.2.4 yard-1")
OPERATOR_TOKEN=demo-operator-token
PIDS=()

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  PIDS+=("$!")
  echo "$!" >"$RUN/$name.pid"
}

stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  PIDS=()
}

await_url() { # URL: tries up to 150 times, 0.1 s apart, until the URL answers
  local i
  for i in $(seq 150); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
    sleep 0.1
  done
  echo "demo: $1 did not answer; see $RUN/*.log" >&2
  return 1
}

write_settings() { # HOST DOMAIN IP ROLE [TARGET KIND POOL PORT]
  cat >"$RUN/$1.yaml" <<YAML
role: $4
host: $1
failureDomain: $2
region: local
listen:
  link: $3:9000
  ops: $3:9100
platform:
  objects: http://$PLATFORM
  targets: http://$PLATFORM
  usage: http://$PLATFORM
  hosts: http://$PLATFORM
tls:
  ca: $RUN/certs/ca.pem
  cert: $RUN/certs/$1.pem
  key: $RUN/certs/$1-key.pem
trace: $RUN/$1.trace
YAML
  if [ "$4" = entry ]; then
    sed -i "s|^  link:|  http: $3:8080\n  link:|" "$RUN/$1.yaml"
    printf 'operators:\n  - name: demo\n    tokenHash: %s\n' \
      "$(printf %s "$OPERATOR_TOKEN" | sha256sum | cut -d' ' -f1)" >>"$RUN/$1.yaml"
  else
    printf 'target:\n  id: %s\n  kind: %s\n  pool: %s\n  url: http://%s:%s\n' "$5" "$6" "$7" "$3" "$8" >>"$RUN/$1.yaml"
  fi
}

host_json() { # HOST DOMAIN IP KIND
  printf '{"host":"%s","addr":"%s","failureDomain":"%s","region":"local","kind":"%s","state":"live"}' "$1" "$3" "$2" "$4"
}

start_all() {
  mkdir -p "$RUN/certs"
  rm -f "$RUN"/*.log "$RUN"/*.trace
  local certs=() hosts=() line
  printf %s "$OPERATOR_TOKEN" >"$RUN/operator.token"
  start platform "$BIN/verbenaspur-standin" platform --listen "$PLATFORM"
  for line in "${ENTRIES[@]}"; do
    set -- $line
    certs+=("$1=entry=$3")
    hosts+=("$(host_json "$1" "$2" "$3" entry)")
    write_settings "$1" "$2" "$3" entry
  done
  for line in "${ENGINES[@]}"; do
    set -- $line
    certs+=("$1=side=$3")
    hosts+=("$(host_json "$1" "$2" "$3" target)")
    write_settings "$1" "$2" "$3" side "$4" engine dispatch 7100
    start "$4" "$BIN/verbenaspur-standin" engine --listen "$3:7100" --name "$4"
  done
  for line in "${SERVICES[@]}"; do
    set -- $line
    certs+=("$1=side=$3")
    hosts+=("$(host_json "$1" "$2" "$3" target)")
    write_settings "$1" "$2" "$3" side "$4" service yard 7200
    start "$4" "$BIN/verbenaspur-standin" service --listen "$3:7200"
  done
  "$BIN/verbenaspurctl" certs --dir "$RUN/certs" --hosts "$(IFS=,; echo "${certs[*]}")" >/dev/null
  await_url "http://$PLATFORM/v1/hosts"
  curl -fsS -o /dev/null -X POST "http://$PLATFORM/control/hosts" -d "{\"hosts\":[$(IFS=,; echo "${hosts[*]}")]}"
  for line in "${ENTRIES[@]}" "${ENGINES[@]}" "${SERVICES[@]}"; do
    set -- $line
    start "$1" "$BIN/verbenaspurd" --settings "$RUN/$1.yaml"
  done
}

ctl() {
  "$BIN/verbenaspurctl" --server http://127.0.1.1:8080 --server http://127.0.1.2:8080 \
    --token-file "$RUN/operator.token" "$@"
}
