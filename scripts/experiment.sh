#!/usr/bin/env bash
# Runs the experiment of one deployment on loopback: three control hosts, and the
# entry hosts, stand-in servers and one minute of load of examples/. One data
# centre is taken out of service after 20 s and returned after 35 s. Prints the
# load report, the burn report and the status. The exit status is 1 if a response
# was truncated or an order was executed twice. The ports of the examples must be
# free.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly usage="usage: experiment.sh samtryck|cooperative"
readonly bin="$PWD/bin" examples="$PWD/examples"
readonly warmup_seconds=4 out_after=20 out_for=15
readonly caller_key=replace-this-key # as in examples/

case "${1:-}" in
samtryck)
	entries=(malmo-1:malmo:2 malmo-2:malmo:2 lund:lund:1 ystad:ystad:1 kristianstad:kristianstad:1)
	workspaces=(samtryck-shop samtryck-proofs $(printf 'printer-%02d ' {1..14}))
	credentials=('engine-*' 'order-desk-*' 'size-check-*')
	data_centre_out=malmo
	;;
cooperative)
	entries=(harbour-1:harbour:2 harbour-2:harbour:2 hill:hill:1 valley:valley:1)
	workspaces=(guild-north guild-south guild-archive $(printf 'stall-%02d ' {1..13}))
	credentials=('engine-*' 'ledger-*' 'stock-*')
	data_centre_out=harbour
	;;
*)
	echo "$usage" >&2
	exit 2
	;;
esac
readonly deployment=$1

umask 077
folder=$(mktemp -d)
pids=()
stop_all() {
	local pid
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$folder"
}
trap stop_all EXIT

start() { # name, program
	"$bin/jackdawtrack-$2" --settings "$folder/$1.yaml" 2>"$folder/$1.log" &
	pids+=($!)
}

operator_key=$(od -An -tx1 -N16 /dev/urandom | tr -d ' \n')
printf %s "$operator_key" >"$folder/operator.key"
operator_key_hash=$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)

for id in 1 2 3; do
	port=$((7490 + 10 * id))
	cat >"$folder/control-$id.yaml" <<YAML
id: $id
data_folder: $folder/data-$id
listen: 127.0.0.1:$port
admin: 127.0.0.1:$((port + 1))
members:
  - {id: 1, address: "127.0.0.1:7500"}
  - {id: 2, address: "127.0.0.1:7510"}
  - {id: 3, address: "127.0.0.1:7520"}
first_operator: {name: desk, key_hash: $operator_key_hash}
YAML
	start "control-$id" control
done

admin_flags=()
port=7400
for entry in "${entries[@]}"; do
	IFS=: read -r name data_centre routers <<<"$entry"
	cat >"$folder/entry-$name.yaml" <<YAML
name: entry-$name
data_centre: $data_centre
routers: $routers
listen: {callers: "127.0.0.1:$port", announce: "127.0.0.1:$((port + 1))", peers: "127.0.0.1:$((port + 2))", membership: "127.0.0.1:$((port + 3))", admin: "127.0.0.1:$((port + 4))"}
control: ["127.0.0.1:7500", "127.0.0.1:7510", "127.0.0.1:7520"]
seeds: ["127.0.0.1:7403", "127.0.0.1:7413", "127.0.0.1:7423"]
membership_key: $caller_key
drain: {notice: 500ms, longest: 60s}
YAML
	start "entry-$name" router
	admin_flags+=(--admin "127.0.0.1:$((port + 4))")
	port=$((port + 10))
done

sed "s#^execution_file:.*#execution_file: $folder/executions#" "$examples/$deployment/standin.yaml" >"$folder/standin.yaml"
sed "s#^executions:.*#executions: $folder/executions#" "$examples/$deployment.yaml" >"$folder/load.yaml"
start standin standin

ctl() {
	"$bin/jackdawctl" --control 127.0.0.1:7500 --operator desk --key-file "$folder/operator.key" "$@" "${admin_flags[@]}"
}
ctl_quiet() { ctl "$@" >/dev/null; }
if [ "$deployment" = samtryck ]; then
	ctl_quiet class set chat-reply --first-token 340ms --token-interval 60ms --may-run-twice
	ctl_quiet class set proof-note --first-token 30s --may-wait --max-wait 10m --may-run-twice
	ctl_quiet class set size-check --answer 500ms --may-run-twice
	ctl_quiet class set print-order --answer 2s --may-wait --max-wait 10s
	ctl_quiet class set status --answer 500ms --may-run-twice
else
	ctl_quiet class set draft --first-token 60s --may-wait --max-wait 10m --may-run-twice
	ctl_quiet class set stall-answer --first-token 340ms --token-interval 60ms --may-run-twice
	ctl_quiet class set photo-tag --first-token 30s --may-wait --max-wait 10m --may-run-twice
	ctl_quiet class set payment --answer 2s --may-wait --max-wait 10s
	ctl_quiet class set timber-order --answer 2s --may-wait --max-wait 10s
	ctl_quiet class set stock-lookup --answer 500ms --may-run-twice
fi
for workspace in "${workspaces[@]}"; do printf '%s\n' "$caller_key" | ctl_quiet workspace set "$workspace" --key-stdin; done
for credential in "${credentials[@]}"; do printf '%s\n' "$caller_key" | ctl_quiet credential set "$credential" --key-stdin; done

sleep "$warmup_seconds" # servers announce themselves, and new owners wait 2 s for reports
"$bin/jackdawtrack-load" --settings "$folder/load.yaml" >"$folder/report" 2>"$folder/progress.log" &
load_pid=$!
pids+=("$load_pid")
sleep "$out_after"
ctl datacentre out "$data_centre_out"
sleep "$out_for"
ctl datacentre in "$data_centre_out"
status=0
wait "$load_pid" || status=$?
cat "$folder/report"
ctl report burn
ctl status
exit "$status"
