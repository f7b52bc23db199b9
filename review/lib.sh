# Sourced by the cases' run.sh: settings and processes of a small deployment on
# loopback. Expects `here` (the case's folder) and `hosts` (how many).
root=$(cd "$here/../.." && pwd)
build=$root/target/review
dir=$(mktemp -d) || exit 2
port=$((12000 + RANDOM % 15000))
pids=()

finish()
{
	local pid
	for pid in "${pids[@]}"
	do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait "${pids[@]}" 2>/dev/null
	rm -rf "$dir"
}
trap finish EXIT

# As deploy/settings.toml.in renders them on a machine of a small site.
write_settings()
{
	cat >"$dir/h$1.toml" <<-EOT
	[host]
	name = "edge-$1"
	datacentre = "a"
	address = "127.0.1.$1"
	first_start = true
	[listen]
	callers = "127.0.1.$1:$port"
	health = "127.0.1.$1:$((port + 1))"
	peers = "127.0.1.$1:$((port + 2))"
	gossip_port = $((port + 3))
	[peers]
	seeds = ["127.0.1.1:$((port + 2))"]
	[store]
	address = "127.0.2.1:$((port + 4))"
	[regions]
	"a" = "r"
	[limits]
	memory_mb = 260
	descriptors = 4100
	link_mbps = 1000.0
	stop_seconds = 8
	[bounds]
	key_revoke_ms = 5000
	retry_ratio = 0.2
	retry_slack = 52
	retry_window_s = 10
	quota_window_s = 8
	[overload]
	early_rejection = true
	EOT
}

start_hosts()
{
	local i
	for ((i = 1; i <= hosts; i++))
	do
		write_settings "$i"
		PIMENTOSHELF_CONFIG=$dir/h$i.toml \
			"$root/target/build/pimentoedge" >"$dir/h$i.log" 2>&1 &
		pids+=($!)
	done
}
