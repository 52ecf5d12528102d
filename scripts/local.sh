#!/usr/bin/env bash
# Runs the system as separate processes on loopback: stand-ins for the platform,
# two model engines and a plain service, an agent beside each, two entries.
# Shows one change of configuration, one generation and one call, then serves
# until Enter (or at once ends, with "-once").
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
pids=()
stop() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait; }
trap stop EXIT
run() { "$@" 2>>bin/local.log & pids+=($!); }
: > bin/local.log

export KINGCUP_TABLE_ADDRESS=127.0.0.1:7100 KINGCUP_OBJECT_ADDRESS=127.0.0.1:7101 KINGCUP_CONFIG_POLL=1s
vms="server-a=agent:127.0.0.1:7201:hall-a:plan-writer,server-b=agent:127.0.0.1:7202:shed-b:plan-writer,desk-a=agent:127.0.0.1:7203:hall-a:desk"
vms="$vms,entry-a=entry:127.0.0.1:7001:hall-a,entry-b=entry:127.0.0.1:7011:shed-b"
run bin/kingcup-standin -kind table -address 127.0.0.1:7100 -object-address 127.0.0.1:7101 -vms "$vms"
run bin/kingcup-standin -kind engine -address 127.0.0.1:7301 -models plan-writer
run bin/kingcup-standin -kind engine -address 127.0.0.1:7302 -models plan-writer -checks-term=false
run bin/kingcup-standin -kind service -address 127.0.0.1:7303
run bin/kingcup-agent -name server-a -failure-domain hall-a -inner-address 127.0.0.1:7201 -engine-address 127.0.0.1:7301
run bin/kingcup-agent -name server-b -failure-domain shed-b -inner-address 127.0.0.1:7202 -engine-address 127.0.0.1:7302
run bin/kingcup-agent -name desk-a -failure-domain hall-a -inner-address 127.0.0.1:7203 -service-address 127.0.0.1:7303 -services desk
run bin/kingcup-entry -name entry-a -failure-domain hall-a -inner-address 127.0.0.1:7001 -caller-address 127.0.0.1:7000 -admin-address 127.0.0.1:7002 -list-every 500ms -heartbeat 200ms
run bin/kingcup-entry -name entry-b -failure-domain shed-b -inner-address 127.0.0.1:7011 -caller-address 127.0.0.1:7010 -admin-address 127.0.0.1:7012 -list-every 500ms -heartbeat 200ms

ctl() { bin/kingcupctl -entries 127.0.0.1:7000,127.0.0.1:7010 -admin 127.0.0.1:7002 "$@"; }
ready() { ctl model plan-writer >/dev/null 2>&1; }
for _ in $(seq 50); do ready && break; sleep 0.1; done
ctl model desk -kind service
ctl priority interactive -level 10
ctl team small-farm -priority interactive -models plan-writer,desk
connected() { ctl status | grep -c serving | grep -qx 3; }
for _ in $(seq 50); do connected && break; sleep 0.1; done
ctl status
ctl generate -team small-farm -model plan-writer "tokens=30 Draft the autumn harvest plan"
ctl call -team small-farm -service desk -once -id slot-7 "confirm baler, Tuesday"
bin/kingcupctl -admin 127.0.0.1:7012 burn
if [ "${1:-}" != -once ]; then
  echo "serving; logs in bin/local.log; Enter ends it"
  read -r _
fi
