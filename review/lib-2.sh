# Sourced by the scripts of review/6 to review/10: a small deployment on loopback.
# Expects `here`, the case's folder. Processes are ended, by their numbers, and
# the temporary folder is removed when the script exits.
root=$(cd "$here/../.." && pwd)
tools=$root/target/review-2
edge=$root/target/build/pimentoedge
record=$here/record.txt
dir=$(mktemp -d) || exit 2
pids=()

finish()
{
	local pid
	for pid in "${pids[@]}"
	do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap finish EXIT

say()
{
	printf '%s %s\n' "$(cut -d' ' -f1 /proc/uptime)" "$*" >>"$record"
}

cannot_run()
{
	say "cannot run: $*"
	echo "cannot run: $*" >&2
	exit 2
}

# Starts a program, its output in a file of the temporary folder; sets $pid.
start()
{
	local name=$1
	shift
	"$@" >>"$dir/$name.log" 2>&1 &
	pid=$!
	pids+=("$pid")
}

# put KEY VALUE: the store's answer is the acknowledgement.
put()
{
	printf '%s' "$2" | "$tools/standin-2" put "$store" "$1" ||
		cannot_run "the store does not take $1"
}

# list_worker ID PORT SERVICE SLOTS
list_worker()
{
	put "servers/$1" '{"service":"'"$3"'","address":"127.0.0.1:'"$2"'",
"zone":"zone-a","version":"v1","slots":'"$4"',"state":"ready",
"cold_left_ms":0,"sequence":1,"born":1}'
}

# start_host NUMBER: as the platform does, from the fields of the template.
start_host()
{
	local ip=127.0.1.$1
	cat >"$dir/host-$1.toml" <<-END
	[host]
	name = "edge-zone-a-$1"
	datacentre = "zone-a"
	address = "$ip"
	first_start = ${first_start:-true}
	[listen]
	callers = "$ip:$front"
	health = "$ip:$ready"
	peers = "$ip:$control"
	gossip_port = $gossip
	[peers]
	seeds = ["127.0.1.1:$control", "127.0.1.2:$control", "127.0.1.3:$control"]
	[store]
	address = "127.0.0.1:$store"
	[regions]
	"zone-a" = "region-a"
	[limits]
	memory_mb = 260
	descriptors = 4100
	link_mbps = 1000.0
	stop_seconds = 8
	[bounds]
	key_revoke_ms = 5000
	retry_ratio = 0.2
	retry_slack = 56
	retry_window_s = 10
	quota_window_s = 8
	[overload]
	early_rejection = true
	END
	cd "$root" || exit 2
	PIMENTOSHELF_CONFIG=$dir/host-$1.toml start "host-$1" target/build/pimentoedge
	cd "$here" || exit 2
}

wait_ready()
{
	local i
	for i in $(seq 100)
	do
		"$tools/standin-2" ready "127.0.1.$1" "$ready" && return
		sleep 0.1
	done
	cannot_run "host $1 is not ready"
}

# Free ports; the hosts share four of them.
take_ports()
{
	local ports
	ports=($("$tools/standin-2" ports "$1")) || cannot_run "no free ports"
	[ "${#ports[@]}" -eq "$1" ] || cannot_run "no free ports"
	store=${ports[0]} front=${ports[1]} ready=${ports[2]}
	control=${ports[3]} gossip=${ports[4]}
	worker_ports=("${ports[@]:5}")
}

: >"$record"
[ -x "$edge" ] || cannot_run "target/build/pimentoedge is not built"
[ -x "$tools/standin-2" ] ||
	cannot_run "review/build-2.sh has not run"
