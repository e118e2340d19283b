#!/usr/bin/env bash
# Demo with the real binaries on loopback: one control host, two routers in two
# data centres and six stand-in backend servers of a print shop. One data centre
# is taken out of service and returned while requests arrive. It ends within a
# minute, with exit status 1 if a response was truncated, an order was executed
# twice or the data centre received requests while it was out of service.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly bin="$PWD/bin"
readonly run_seconds=20
readonly out_after=6 in_after=12 # seconds after the first request
readonly propagation_seconds=3   # until a data centre that is out receives no new requests
readonly ready_seconds=15        # timeout for a process to become ready

folder=$(mktemp -d)
pids=()

stop_all() {
	local pid
	for pid in "${pids[@]}"; do
		kill -TERM "$pid" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	rm -rf "$folder"
}
trap stop_all EXIT

start() { # name, command...
	local name=$1
	shift
	"$@" >"$folder/$name.log" 2>&1 &
	pids+=($!)
}

# A port counts as free if nothing accepts a connection on it. The range is below
# the ephemeral ports that the kernel assigns to outgoing connections.
next_port=$((20000 + $$ % 12000))
free_port() { # name of the variable that gets the address
	while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
		next_port=$((next_port + 1))
	done
	printf -v "$1" '127.0.0.1:%d' "$next_port"
	next_port=$((next_port + 1))
}

fail() {
	echo "demo: $*" >&2
	tail -n 5 "$folder"/*.log >&2
	exit 1
}

wait_for() { # description, command...
	local description=$1 deadline=$((SECONDS + ready_seconds))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$deadline" ] || fail "$description is not ready after $ready_seconds s"
		sleep 0.5
	done
}

sha256_hex() { # text
	if command -v sha256sum >/dev/null; then printf %s "$1" | sha256sum; else printf %s "$1" | shasum -a 256; fi | cut -d' ' -f1
}

readonly operator_key=$(od -An -tx1 -N16 /dev/urandom | tr -d ' \n')
readonly server_key=$(od -An -tx1 -N16 /dev/urandom | tr -d ' \n')
readonly membership_key=$(od -An -tx1 -N16 /dev/urandom | tr -d ' \n')
readonly caller_key=$(od -An -tx1 -N16 /dev/urandom | tr -d ' \n')
umask 077
printf '%s\n' "$operator_key" >"$folder/operator.key"

free_port control
free_port control_admin
for dc in north south; do
	for listener in callers announce peers membership admin; do
		free_port "${dc}_$listener"
	done
done

echo "== settings in $folder"
cat >"$folder/control.yaml" <<YAML
id: 1
data_folder: $folder/control
listen: $control
admin: $control_admin
members:
  - {id: 1, address: "$control"}
first_operator: {name: desk, key_hash: $(sha256_hex "$operator_key")}
YAML

router_settings() { # data centre
	local listener
	for listener in callers announce peers membership admin; do
		declare -n "$listener=${1}_$listener"
	done
	cat <<YAML
name: router-$1
data_centre: $1
listen: {callers: "$callers", announce: "$announce", peers: "$peers", membership: "$membership", admin: "$admin"}
control: ["$control"]
seeds: ["$north_membership", "$south_membership"]
membership_key: $membership_key
drain: {notice: 100ms, longest: 5s}
YAML
}
router_settings north >"$folder/router-north.yaml"
router_settings south >"$folder/router-south.yaml"

server_settings() { # data centre
	declare -n announce_address="${1}_announce"
	cat <<YAML
  - {name: engine-$1-1, data_centre: $1, listen: "127.0.0.1:0", kind: engine, pool: apron-7b, models: [apron-7b],
     slots: 8, start_warm: true, announce: ["$announce_address"], credential: $server_key}
  - {name: desk-$1, data_centre: $1, listen: "127.0.0.1:0", kind: service, pool: print-desk,
     slots: 8, start_warm: true, announce: ["$announce_address"], credential: $server_key}
  - {name: sizes-$1, data_centre: $1, listen: "127.0.0.1:0", kind: service, pool: size-check,
     slots: 8, start_warm: true, announce: ["$announce_address"], credential: $server_key}
YAML
}
{
	echo "execution_file: $folder/executions"
	echo "servers:"
	server_settings north
	server_settings south
} >"$folder/standin.yaml"

cat >"$folder/day.yaml" <<YAML
routers: ["$north_callers", "$south_callers"]
duration: ${run_seconds}s
executions: $folder/executions
workspaces:
  - {name: samtryck, key: $caller_key}
  - {name: proofs, key: $caller_key}
streams:
  - {name: chat, class: chat-reply, workspaces: [samtryck], rate: 4, model: apron-7b, stream: true, max_tokens: 30}
  - {name: draft, class: draft, workspaces: [proofs], rate: 0.6, model: apron-7b, stream: true, max_tokens: 250, prompt: 3000}
  - {name: sizes, class: size-check, workspaces: [samtryck, proofs], rate: 5, service: size-check, path: /check}
  - {name: order, class: print-order, workspaces: [samtryck], rate: 1.5, service: print-desk, path: /orders, keyed: true, copies: 2, once: true}
  - {name: status, class: status, workspaces: [samtryck], rate: 5, service: print-desk, path: /status/17, method: GET}
YAML

ctl() { "$bin/jackdawctl" --control "$control" --operator desk --key-file "$folder/operator.key" "$@"; }

start control "$bin/jackdawtrack-control" --settings "$folder/control.yaml"
echo "== classes, workspaces, credentials"
wait_for "the control host" ctl class set chat-reply --first-token 1s --token-interval 60ms --may-run-twice
ctl class set draft --first-token 5s --may-wait --max-wait 40s --may-run-twice
ctl class set size-check --answer 500ms --may-run-twice
ctl class set print-order --answer 2s --may-wait --max-wait 10s
ctl class set status --answer 500ms --may-run-twice
for workspace in samtryck proofs; do
	printf '%s\n' "$caller_key" | ctl workspace set "$workspace" --key-stdin
done
for prefix in engine desk sizes; do
	printf '%s\n' "$server_key" | ctl credential set "$prefix-*" --key-stdin
done

start router-north "$bin/jackdawtrack-router" --settings "$folder/router-north.yaml"
start router-south "$bin/jackdawtrack-router" --settings "$folder/router-south.yaml"
start standin "$bin/jackdawtrack-standin" --settings "$folder/standin.yaml"

# A router is ready when it answers a chat, a service and a status request.
probe_router() { # caller address
	local stream
	for stream in "class: chat-reply, model: apron-7b, stream: true, max_tokens: 1" \
		"class: size-check, service: size-check, path: /check" \
		"class: status, service: print-desk, path: /status/0, method: GET"; do
		cat >"$folder/probe.yaml" <<YAML
routers: ["$1"]
log_level: error
duration: 1s
max_requests: 1
timeout: 2s
workspaces: [{name: samtryck, key: $caller_key}]
streams: [{name: probe, workspaces: [samtryck], rate: 1000, $stream}]
YAML
		"$bin/jackdawtrack-load" --settings "$folder/probe.yaml" | grep -q '^first answer' || return 1
	done
}
wait_for "router-north" probe_router "$north_callers"
wait_for "router-south" probe_router "$south_callers"
rm -f "$folder/probe.yaml"

echo "== $run_seconds s of requests; south goes out after $out_after s and comes back after $in_after s"
"$bin/jackdawtrack-load" --settings "$folder/day.yaml" >"$folder/report" 2>"$folder/progress.log" &
load_pid=$!
pids+=("$load_pid")
sleep "$out_after"
ctl datacentre out south --admin "$north_admin" --admin "$south_admin"
sleep "$propagation_seconds"
out_from=$(date -u +%Y-%m-%dT%H:%M:%S.%N)
sleep $((in_after - out_after - propagation_seconds))
out_to=$(date -u +%Y-%m-%dT%H:%M:%S.%N)
ctl datacentre in south --admin "$north_admin" --admin "$south_admin"
status=0
wait "$load_pid" || status=$?

echo "== progress"
sed -n '1~5p' "$folder/progress.log"
echo "== answers and summary"
cat "$folder/report"
# Executions that started in the south while it was out of service.
out_executions=$(awk -F'"' -v from="$out_from" -v to="$out_to" '
	{ for (i = 2; i < NF; i++) { if ($i == "server") server = $(i + 2); if ($i == "start") start = $(i + 2) } }
	server ~ /south/ && start > from && start < to { count++ }
	END { print count + 0 }' "$folder/executions")
echo "executions in south between $propagation_seconds s after it went out and its return: $out_executions"
echo "== service-level burn"
ctl report burn --admin "$north_admin" --admin "$south_admin"
if [ "$status" -ne 0 ] || [ "$out_executions" -ne 0 ]; then
	echo "demo: FAILED, see above"
	exit 1
fi
echo "demo: no answer was cut, no order ran twice, no work went to the data centre that was out"
