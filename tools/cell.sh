# POSIX shell functions that start a cell of stand-ins and nodes on loopback.
# Source this file and call cell_begin first.  All processes that the functions
# start are killed when the shell exits.
#
#     cell_begin BUILD
#     cell_run workers1 "$cell_bin/ogl-standin-worker" --count 12 --name wa
#     cell_wait_ports workers1 12
#     cell_platform --lag-ms 0
#     cell_nodes 3 4 '"exec_slots": 64'
#     cell_team demo
#
# Stand-ins whose names begin with `executors` or `workers` are added to the
# list of hosts.  Afterwards cell_http has the nodes' addresses,
# cell_platform_addr the platform's address, cell_op_key the operator's key and
# cell_key the team's key.  $cell_dir/NAME.pid, .out and .err have the process
# ID, the output and the errors of each process.  If cell_relay is set before
# cell_nodes, each node connects to the platform and receives connections of its
# peers through a relay; then nodes whose names are in $cell_dir/cut are cut
# off.  OGL_CELL_KEEP=1 in the environment keeps $cell_dir with all output.

CELL_READY_S=30
cell_relay=

cell_log() { printf 'cell: %s\n' "$*" >&2; }

cell_fail() {
	cell_log "$*"
	exit 1
}

cell_stop() {
	for f in "$cell_dir"/*.pid; do
		[ -f "$f" ] || continue
		kill -KILL "$(cat "$f")" 2>/dev/null || :
	done
	wait 2>/dev/null || :
	[ -n "${OGL_CELL_KEEP:-}" ] || rm -rf "$cell_dir"
}

cell_begin() {
	cell_tools=$(cd "$(dirname "$0")/../tools" && pwd)
	cell_bin=$1
	cell_dir=$(mktemp -d)
	trap cell_stop EXIT
	trap 'exit 1' INT TERM
}

# cell_run NAME COMMAND...: starts the command in the background.
cell_run() {
	cell_name=$1
	shift
	"$@" >"$cell_dir/$cell_name.out" 2>"$cell_dir/$cell_name.err" &
	echo $! >"$cell_dir/$cell_name.pid"
}

cell_pid() { cat "$cell_dir/$1.pid"; }

# cell_retry SECONDS COMMAND...: repeats the command until it succeeds.
cell_retry() {
	cell_tries=$(($1 * 10))
	shift
	until "$@"; do
		cell_tries=$((cell_tries - 1))
		[ $cell_tries -gt 0 ] || return 1
		sleep 0.1
	done
}

cell_has_ports() {
	[ -f "$cell_dir/$1.out" ] &&
	    [ "$(grep -c '^port ' "$cell_dir/$1.out")" -ge "$2" ]
}

# cell_wait_ports NAME COUNT: waits until a stand-in has printed its ports.
cell_wait_ports() {
	cell_retry 10 cell_has_ports "$1" "$2" || cell_fail "$1 did not start"
}

# cell_addresses NAME: prints the addresses of a stand-in's servers, separated
# by commas.
cell_addresses() {
	awk '/^port /{printf "%s127.0.0.1:%s", s, $2; s = ","}' \
	    "$cell_dir/$1.out"
}

cell_free_addrs() {
	python3 - "$1" <<'PY'
import socket
import sys

taken = [socket.socket() for _ in range(int(sys.argv[1]))]
for s in taken:
    s.bind(("127.0.0.1", 0))
print(*("127.0.0.1:%d" % s.getsockname()[1] for s in taken))
PY
}

# cell_get ADDR PATH [KEY]: prints the body of a GET; fails unless the status
# is 200.
cell_get() {
	python3 - "$@" <<'PY'
import sys
import urllib.request

r = urllib.request.Request("http://" + sys.argv[1] + sys.argv[2])
if len(sys.argv) > 3:
    r.add_header("Authorization", "Bearer " + sys.argv[3])
try:
    print(urllib.request.urlopen(r, timeout=5).read().decode())
except OSError:
    sys.exit(1)
PY
}

cell_answers() { cell_get "$@" >/dev/null; }

# cell_platform ARGS...: starts the platform.  Its list of hosts has the
# stand-ins started so far.
cell_platform() {
	{
		cat "$cell_dir"/executors*.out 2>/dev/null |
		    awk '/^port /{print "executor", $3, $2, "z1 r"}'
		cat "$cell_dir"/workers*.out 2>/dev/null |
		    awk '/^port /{print "worker", $3, $2, $4, $5}'
	} | awk '
	BEGIN { printf "{\"hosts\":[" }
	{
		printf "%s\n{\"role\":\"%s\",\"name\":\"%s\"," \
		    "\"addr\":\"127.0.0.1:%s\",\"zone\":\"%s\",\"rack\":\"%s\"}",
		    s, $1, $2, $3, $4, $5
		s = ","
	}
	END { print "]}" }' >"$cell_dir/hosts.json"
	cell_run platform "$cell_bin/ogl-standin-platform" \
	    --hosts "$cell_dir/hosts.json" "$@"
	cell_wait_ports platform 1
	cell_platform_addr=$(cell_addresses platform)
}

cell_write_settings() { # NAME HTTP LISTEN ADDR PLATFORM
	cat >"$cell_dir/$1.json" <<JSON
{
	"node": {"name": "$1", "addr": "$4", "zone": "z${1#n}"},
	"listen": {"http": "$2", "peer": "$3"},
	"platform": "$5",
	"seeds": [$cell_seeds],
	"shards": $cell_shards,
	"operator_key_hash": "$cell_op_hash",
	"log_level": "${OGL_CELL_LOG:-warn}",
	"timings": {$cell_timings}
}
JSON
}

# cell_node NAME: starts or restarts a node whose settings are written.
cell_node() {
	cell_run "$1" "$cell_bin/orioleglade" --settings "$cell_dir/$1.json"
}

# Takes four addresses per node: for callers, for peers, of the relay between
# peers and the node, and of the relay between the node and the platform.
cell_start_node() { # NAME HTTP LISTEN RELAY RELAY_PLATFORM
	if [ -n "$cell_relay" ]; then
		cell_run "relay_$1" python3 "$cell_tools/relay.py" \
		    "$cell_dir/cut" "$1" "$4=$3" "$5=$cell_platform_addr"
		cell_wait_ports "relay_$1" 2
		cell_write_settings "$1" "$2" "$3" "$4" "$5"
	else
		cell_write_settings "$1" "$2" "$3" "$3" "$cell_platform_addr"
	fi
	cell_node "$1"
	cell_http="$cell_http $2"
}

# cell_nodes COUNT SHARDS [TIMINGS]: starts nodes n1, n2, ... and waits until
# all are ready.
cell_nodes() {
	cell_op_pair=$("$cell_bin/oriolectl" key hash)
	cell_op_key=$(echo "$cell_op_pair" | sed -n 1p)
	cell_op_hash=$(echo "$cell_op_pair" | sed -n 2p)
	cell_count=$1 cell_shards=$2 cell_timings=${3:-}
	: >"$cell_dir/cut"
	# shellcheck disable=SC2046
	set -- $(cell_free_addrs $((4 * cell_count)))
	cell_http='' cell_index=0
	if [ -n "$cell_relay" ]; then
		cell_seeds="\"$3\"${7:+, \"$7\"}"
	else
		cell_seeds="\"$2\"${6:+, \"$6\"}"
	fi
	while [ $cell_index -lt "$cell_count" ]; do
		cell_index=$((cell_index + 1))
		cell_start_node "n$cell_index" "$1" "$2" "$3" "$4"
		shift 4
	done
	for cell_addr in $cell_http; do
		cell_retry $CELL_READY_S cell_answers "$cell_addr" /readyz ||
		    cell_fail "$cell_addr is not ready"
	done
}

# cell_team NAME: creates a team and a key and waits until all nodes accept the
# key.
cell_team() {
	cell_ctl_args="--node ${cell_http##* } --key $cell_op_key"
	# shellcheck disable=SC2086
	"$cell_bin/oriolectl" $cell_ctl_args team add "$1" >/dev/null ||
	    cell_fail "no team $1"
	# shellcheck disable=SC2086
	cell_key=$("$cell_bin/oriolectl" $cell_ctl_args key create "$1" | sed -n 1p)
	for cell_addr in $cell_http; do
		cell_retry $CELL_READY_S \
		    cell_answers "$cell_addr" /v1/jobs "$cell_key" ||
		    cell_fail "$cell_addr does not accept the key"
	done
}
