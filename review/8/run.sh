#!/bin/bash
# Requests wait for a slot at a host that is told to stop. Those that still wait
# when it ends get no answer, though none was sent to a worker. TROUBLE=0 stops
# nothing.
set -u
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-2.sh"

WORK_MS=4500 # of one request
JOBS=54      # at 2 workers of 6 slots

take_ports 7
start store "$tools/standin-2" store "$store" "$record"
put op/config '{"version":1,"routes":[{"name":"r-job","host":"shop.example",
"prefix":"/job/","route_type":"non_idempotent","timeout_ms":15000,
"goal_ms":14000,"priority":1,"service":"jobs","max_attempts":1,"public":false}],
"services":[{"name":"jobs","health_path":"/healthz","max_conns":110,
"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"shop","api_keys":["key-of-shop"],"priority":1,
"unit":"tokens","plain_tokens":200,"rate_per_s":0,"burst":0}]}'
for i in 0 1
do
	start "worker-$i" "$tools/standin-2" worker "${worker_ports[$i]}" "i-$i" \
		"$record"
	list_worker "i-$i" "${worker_ports[$i]}" jobs 6
done
start_host 1
stopped=$pid
start_host 2
wait_ready 1
wait_ready 2
sleep 1

# The hosts learn how long a request takes.
"$tools/standin-2" jobs 127.0.1.1 "$front" key-of-shop first $WORK_MS 6 \
	"$record" >"$dir/first" || cannot_run "the first clients"
[ "$(grep -c ' 200$' "$dir/first")" = 6 ] || cannot_run "the first requests"

"$tools/standin-2" jobs 127.0.1.1 "$front" key-of-shop job $WORK_MS $JOBS \
	"$record" >"$dir/jobs" &
jobs=$!
pids+=("$jobs")
sleep 1
if [ "${TROUBLE:-1}" != 0 ]
then
	say "SIGTERM to host 1; grace_s is 8"
	kill -TERM "$stopped"
	wait "$stopped"
	say "host 1 has ended with status $?"
fi
wait "$jobs" || cannot_run "the clients"

lost=0
while read -r id status
do
	[ "$status" = 0 ] && ! grep -q "runs $id " "$record" &&
		lost=$((lost + 1))
done <"$dir/jobs"
say "of $JOBS requests $(grep -c ' 200$' "$dir/jobs") served," \
	"$(grep -c ' 503$' "$dir/jobs") refused," \
	"$(grep -c ' 0$' "$dir/jobs") without an answer," \
	"$lost of which no worker had"
tail -1 "$record"
[ "$lost" = 0 ]
