#!/bin/bash
# One worker of four sends, in place of one answer of 101, lines of a stream without
# end. The host that reads them answers nobody. TROUBLE=0 has the same streams
# without that one.
set -u
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-2.sh"

STREAMS=100
GAP_MS=50     # between two other requests
SPAN_MS=15000

trouble=1
[ "${TROUBLE:-1}" = 0 ] && trouble=0
take_ports 11
start store "$tools/standin-2" store "$store" "$record"
put op/config '{"version":1,"routes":[{"name":"r-chat","host":"shop.example",
"prefix":"/chat/","route_type":"streaming","timeout_ms":12000,"goal_ms":400,
"priority":1,"service":"llm","max_attempts":2,"public":false,"sticky":true,
"resumable":true,"gap_goal_ms":300},{"name":"r-look","host":"shop.example",
"prefix":"/look/","route_type":"idempotent","timeout_ms":1000,"goal_ms":100,
"priority":2,"service":"app","max_attempts":2,"public":false}],
"services":[{"name":"llm","health_path":"/healthz","max_conns":370,
"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity":762295,
"models":[{"name":"m"}]}},{"name":"app","health_path":"/healthz",
"max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"shop","api_keys":["key-of-shop"],"priority":1,
"unit":"tokens","plain_tokens":200,"rate_per_s":0,"burst":0}]}'
for i in 0 1 2 3
do
	start "llm-$i" "$tools/standin-2" worker "${worker_ports[$i]}" "llm-$i" \
		"$record"
	list_worker "llm-$i" "${worker_ports[$i]}" llm 12
done
for i in 4 5
do
	start "app-$i" "$tools/standin-2" worker "${worker_ports[$i]}" "app-$i" \
		"$record"
	list_worker "app-$i" "${worker_ports[$i]}" app 6
done
start_host 1
start_host 2
wait_ready 1
wait_ready 2
sleep 1

"$tools/standin-2" streams 127.0.1.1 "$front" key-of-shop $STREAMS $trouble \
	"$record" &
streams=$!
pids+=("$streams")
"$tools/standin-2" steady 127.0.1.1 "$front" key-of-shop $GAP_MS $SPAN_MS \
	"$record" >"$dir/result"
status=$?
say "host 1: $(cat "$dir/result")"
cat "$dir/result"
wait "$streams" || cannot_run "the streams"
exit $status
