#!/usr/bin/env bash
# Starts stand-ins of the platform services and the daemons on the loopback
# address, demonstrates the main features with the command-line client and stops
# all processes. Exits with 0 if every step succeeded. $1: build folder.
set -euo pipefail
Build=$(cd "${1:-build}" && pwd)
Work=$(mktemp -d)
Daemon=$Build/apps/nutmegwelld
Client=$Build/apps/nutmegwell
Standins=$Build/tests/standins
Pids=()

stop_all() {
  # Signals in reverse start order, agents and entry hosts before the log, so that
  # each process can stop gracefully.
  for ((I = ${#Pids[@]} - 1; I >= 0; --I)); do
    kill -TERM "${Pids[$I]}" 2>/dev/null || true
  done
  wait
  rm -rf "$Work"
}
trap stop_all EXIT

say() { printf '\n== %s\n' "$*"; }
fail() {
  echo "demo failed: $*"
  tail -n 20 "$Work"/e*.out
  exit 1
}

# Free TCP ports, chosen by the kernel. All sockets stay open until every port is
# printed, so that the ports differ.
mapfile -t Ports < <(python3 - <<'PY'
import socket
held = [socket.socket() for _ in range(40)]
for s in held:
    s.bind(("127.0.0.1", 0))
    print(s.getsockname()[1])
PY
)
Next=0
# Sets Address to the next free address.
pick() {
  Address=127.0.0.1:${Ports[$Next]}
  Next=$((Next + 1))
}
launch() {
  local Name=$1
  shift
  "$@" >"$Work/$Name.out" 2>&1 &
  Pids+=($!)
}

say "start a log stand-in, 2 entry hosts, 6 workers in 2 failure domains, 2 upstreams"
pick; Log=$Address
launch log "$Standins/nutmegwell-standin-log" --port "${Log#*:}"
pick; Udp1=$Address; pick; Udp2=$Address
pick; Http1=$Address; pick; Http2=$Address
pick; Tcp1=$Address; pick; Tcp2=$Address
launch e1 "$Daemon" --role entry --node e1 --domain north --log-address "$Log" \
  --http-listen "$Http1" --udp-listen "$Udp1" --tcp-listen "$Tcp1" \
  --entries "$Udp2" --peers "$Tcp2"
launch e2 "$Daemon" --role entry --node e2 --domain south --log-address "$Log" \
  --http-listen "$Http2" --udp-listen "$Udp2" --tcp-listen "$Tcp2" \
  --entries "$Udp1" --peers "$Tcp1"
for I in 1 2 3 4 5 6; do
  Domain=north; [ "$I" -le 3 ] || Domain=south
  pick; Runtime=$Address
  launch "r$I" "$Standins/nutmegwell-standin-runtime" "$Runtime"
  pick; Udp=$Address; pick
  launch "w$I" "$Daemon" --role agent --kind worker --node "w$I" \
    --domain $Domain --rack "$Domain-1" --accelerators 8 --udp-listen "$Udp" \
    --tcp-listen "$Address" --entries "$Udp1,$Udp2" --runtime-address "$Runtime"
done
for I in 1 2; do
  Domain=north; [ "$I" -le 1 ] || Domain=south
  pick; Announce=$Address; pick; Udp=$Address; pick
  launch "u$I" "$Daemon" --role agent --kind upstream --node "u$I" \
    --domain $Domain --udp-listen "$Udp" --tcp-listen "$Address" \
    --entries "$Udp1,$Udp2" --announce-listen "$Announce"
  launch "s$I" "$Standins/nutmegwell-standin-upstream" --agent "$Announce" \
    --service planning
done
export NUTMEGWELL_ENTRY=$Http1,$Http2

# Waits up to 150 polls of 0.2 s until the status of the entry host at $2
# contains $1.
await() {
  for _ in $(seq 150); do
    "$Client" --entry "$2" status --json 2>/dev/null | grep -q "$1" && return 0
    sleep 0.2
  done
  fail "the status of entry host $2 does not contain $1"
}
for Http in "$Http1" "$Http2"; do
  for Node in w1 w2 w3 w4 w5 w6 u1 u2; do await "\"name\":\"$Node\"" "$Http"; done
  await '"log_available":true' "$Http"
done

say "publish both tables"
cat >"$Work/pools.json" <<'JSON'
{"pools": [
  {"name": "lab-north", "account": "lab", "service": "planning", "domain": "north",
   "guaranteed": 8, "block": 8, "level": "worker", "limit": 24, "requests": 16},
  {"name": "lab-south", "account": "lab", "service": "planning", "domain": "south",
   "guaranteed": 8, "block": 8, "level": "worker", "limit": 24, "requests": 16}]}
JSON
cat >"$Work/routes.json" <<'JSON'
{"routes": [{"path": "/planning", "service": "planning", "timeout_ms": 5000}]}
JSON
"$Client" tables publish pools "$Work/pools.json"
"$Client" tables publish routes "$Work/routes.json"

say "an invalid table is rejected with its table, row and field"
sed 's/"guaranteed": 8/"guaranteed": 800/' "$Work/pools.json" >"$Work/bad.json"
if "$Client" tables publish pools "$Work/bad.json"; then
  fail "the invalid table was published"
fi

say "one request, and one with an idempotency key that is sent twice"
"$Client" request --account lab /planning/hello || fail "the request to /planning/hello failed"
echo
echo '{"label": 7}' >"$Work/body.json"
for Entry in "$Http1" "$Http2"; do
  "$Client" --entry "$Entry" request --account lab --method POST --key proof-7 \
    --body "$Work/body.json" /planning/proof || fail "the request with an idempotency key failed at $Entry"
  echo
done
Runs=$(cat "$Work"/s*.out | grep -c '"key":"proof-7"')
[ "$Runs" = 1 ] || fail "the request with an idempotency key ran $Runs times instead of once"
echo "the request with the idempotency key ran once"

say "a gang of 2 tasks with 4 accelerators each, on adjacent workers"
Job=$("$Client" submit --account lab --service planning --tasks 2 \
  --accelerators 4 --level rack run:1000)
"$Client" wait "$Job" || fail "the gang job $Job did not finish"

say "take failure domain north out of service: a running job moves, no task starts there"
Job=$("$Client" submit --account lab --service planning --tasks 3 \
  --accelerators 8 --level rack run:20000)
for _ in $(seq 50); do
  "$Client" status "$Job" | grep -q running && break
  sleep 0.2
done
"$Client" status "$Job"
"$Client" domain out north
sleep 3
starts() { cat "$Work"/r1.out "$Work"/r2.out "$Work"/r3.out | grep -c '^started' || true; }
Before=$(starts)
Small=$("$Client" submit --account lab --service planning --tasks 3 \
  --accelerators 8 --level rack run:500)
"$Client" explain "$Small" | tee "$Work/explain.out"
grep -q "north is out of service" "$Work/explain.out" || fail "explain does not say that north is out of service"
sleep 3
After=$(starts)
[ "$Before" = "$After" ] || fail "a task started in north while it was out of service"
echo "task starts in north while out of service: $((After - Before))"

say "bring failure domain north back into service"
"$Client" domain in north
"$Client" wait "$Small" || fail "job $Small did not finish after north came back into service"
"$Client" cancel "$Job" >/dev/null || true

say "burn rates of the service-level objectives"
"$Client" report burn

say "stop an entry host with a request in flight: the request completes"
"$Client" --entry "$Http1" request --account lab "/planning/slow?delay_ms=1500" \
  >"$Work/slow.out" &
Slow=$!
sleep 0.5
kill -TERM "${Pids[1]}"
wait "$Slow" || fail "the request in flight did not complete"
cat "$Work/slow.out"
echo
wait "${Pids[1]}" || fail "entry host e1 did not stop cleanly"
grep 'event=stop' "$Work/e1.out"
say "done"
