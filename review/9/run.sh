#!/bin/bash
# Three of eight hosts, those that the seeds name, are lost; the five others are
# killed and start again. Later one tenant asks for four times its allotment.
# TROUBLE=0 loses and kills none.
set -u
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-2.sh"

RATE=100000  # of the tenant, tokens a second; its burst is the same
TOKENS=6600  # of a request
GAP_MS=82    # between two requests at each of five hosts: 402,000 tokens a second
SPAN_MS=12000
WINDOW=8     # quota_window_s

take_ports 7
start store "$tools/standin-2" store "$store" "$record"
put op/config '{"version":1,"routes":[{"name":"r-ask","host":"shop.example",
"prefix":"/ask/","route_type":"idempotent","timeout_ms":4000,"goal_ms":400,
"priority":1,"service":"llm","max_attempts":1,"public":false}],
"services":[{"name":"llm","health_path":"/healthz","max_conns":370,
"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"shop","api_keys":["key-of-shop"],"priority":1,
"unit":"tokens","plain_tokens":200,"rate_per_s":'$RATE',"burst":'$RATE'}]}'
for i in 0 1
do
	start "worker-$i" "$tools/standin-2" worker "${worker_ports[$i]}" "i-$i" \
		"$record"
	list_worker "i-$i" "${worker_ports[$i]}" llm 12
done
hosts=()
for i in 1 2 3 4 5 6 7 8
do
	start_host $i
	hosts[$i]=$pid
done
for i in 1 2 3 4 5 6 7 8
do
	wait_ready $i
done
sleep 2
if [ "${TROUBLE:-1}" != 0 ]
then
	say "hosts 1, 2 and 3, the seeds, are lost; hosts 4 to 8 are killed"
	kill -KILL "${hosts[@]}"
	wait "${hosts[@]}" 2>/dev/null
	first_start=false
	sleep 0.7
	for i in 4 5 6 7 8
	do
		start_host $i
	done
	for i in 4 5 6 7 8
	do
		wait_ready $i
	done
	say "hosts 4 to 8 are back"
fi
sleep "${PAUSE_S:-25}"

say "the tenant begins"
clients=()
for i in 4 5 6 7 8
do
	"$tools/standin-2" load "127.0.1.$i" "$front" key-of-shop $TOKENS \
		$GAP_MS $SPAN_MS "$record" >>"$dir/load" &
	clients+=($!)
	pids+=($!)
	sleep 0.016
done
for i in "${clients[@]}"
do
	wait "$i" || cannot_run "a client"
done

# The most that ran in any span of quota_window_s, against the rule.
awk -v rate=$RATE -v window=$WINDOW '
	/ runs / { at[n] = $1; tokens[n++] = $7 }
	END {
		for (i = 0; i < n; i++) {
			sum += tokens[i]
			while (at[first] < at[i] - window)
				sum -= tokens[first++]
			if (sum > most)
				most = sum
		}
		allowed = (rate * window + rate) * 1.25 + 140000
		printf "%d requests ran; at most %d tokens in %d s, %d allowed\n",
			n, most, window, allowed
		exit !n ? 2 : most > allowed
	}' "$record" >"$dir/verdict"
status=$?
say "$(cat "$dir/verdict")"
cat "$dir/load" "$dir/verdict"
exit $status
