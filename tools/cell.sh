# Shell functions (POSIX) to start a cell of stand-ins and nodes on loopback.
# Source it, then call cell_begin; everything it starts ends with the shell.
#
#     cell_begin BUILD
#     cell_run workers1 "$cell_bin/ogl-standin-worker" --count 12 --name wa
#     cell_wait_ports workers1 12
#     cell_platform --lag-ms 0
#     cell_nodes 3 4 '"exec_slots": 64'
#     cell_team demo
#
# Stand-ins whose names begin with `executors` or `workers` go into the host
# list.  Afterwards cell_http holds the nodes' addresses, cell_platform_addr
# the platform's, cell_op_key and cell_key the keys, and $cell_dir/NAME.pid,
# .out and .err what belongs to each process.  With cell_relay set before
# cell_nodes each node reaches the platform, and is reached by its peers,
# through a relay; names of nodes written to $cell_dir/cut are cut off.
# OGL_CELL_KEEP=1 in the environment keeps $cell_dir, with all output.

CELL_READY_S=30
cell_relay=

cell_say() { printf 'cell: %s\n' "$*" >&2; }

cell_fail() {
	cell_say "$*"
	exit 1
}

cell_quit() {
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
	trap cell_quit EXIT
	trap 'exit 1' INT TERM
}

# cell_run NAME COMMAND...: in the background.
cell_run() {
	cell_name=$1
	shift
	"$@" >"$cell_dir/$cell_name.out" 2>"$cell_dir/$cell_name.err" &
	echo $! >"$cell_dir/$cell_name.pid"
}

cell_pid() { cat "$cell_dir/$1.pid"; }

# cell_within SECONDS COMMAND...: repeats the command until it succeeds.
cell_within() {
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

# cell_wait_ports NAME COUNT: until a stand-in has printed its ports.
cell_wait_ports() {
	cell_within 10 cell_has_ports "$1" "$2" || cell_fail "$1 did not start"
}

# cell_addresses NAME: addresses of a stand-in's servers, with commas between.
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

# cell_get ADDR PATH [KEY]: the body of a GET; fails unless it is answered 200.
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

# cell_platform ARGS...: with the stand-ins started so far on its host list.
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

# cell_node NAME: starts, or starts again, a node whose settings are written.
cell_node() {
	cell_run "$1" "$cell_bin/orioleglade" --settings "$cell_dir/$1.json"
}

# Four addresses a node: callers', listening for peers, and those of its
# relays before itself and before the platform.
cell_one_node() { # NAME HTTP LISTEN RELAY RELAY_PLATFORM
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

# cell_nodes COUNT SHARDS [TIMINGS]: nodes n1, n2, ..., all ready.
cell_nodes() {
	cell_op=$("$cell_bin/oriolectl" key hash)
	cell_op_key=$(echo "$cell_op" | sed -n 1p)
	cell_op_hash=$(echo "$cell_op" | sed -n 2p)
	cell_n=$1 cell_shards=$2 cell_timings=${3:-}
	: >"$cell_dir/cut"
	# shellcheck disable=SC2046
	set -- $(cell_free_addrs $((4 * cell_n)))
	cell_http='' cell_i=0
	if [ -n "$cell_relay" ]; then
		cell_seeds="\"$3\"${7:+, \"$7\"}"
	else
		cell_seeds="\"$2\"${6:+, \"$6\"}"
	fi
	while [ $cell_i -lt "$cell_n" ]; do
		cell_i=$((cell_i + 1))
		cell_one_node "n$cell_i" "$1" "$2" "$3" "$4"
		shift 4
	done
	for cell_a in $cell_http; do
		cell_within $CELL_READY_S cell_answers "$cell_a" /readyz ||
		    cell_fail "$cell_a is not ready"
	done
}

# cell_team NAME: a team and a key, once every node takes it.
cell_team() {
	cell_a="--node ${cell_http##* } --key $cell_op_key"
	# shellcheck disable=SC2086
	"$cell_bin/oriolectl" $cell_a team add "$1" >/dev/null ||
	    cell_fail "no team $1"
	# shellcheck disable=SC2086
	cell_key=$("$cell_bin/oriolectl" $cell_a key create "$1" | sed -n 1p)
	for cell_a in $cell_http; do
		cell_within $CELL_READY_S \
		    cell_answers "$cell_a" /v1/jobs "$cell_key" ||
		    cell_fail "$cell_a does not take the key"
	done
}
