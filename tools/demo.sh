#!/usr/bin/env bash
# Demonstrates the system on one machine: builds it, starts the stand-ins and
# three nodes on loopback, sends requests and jobs to all three, kills one node
# half way, and compares the answers to callers with what has run.  The exit
# status is 0 only if nothing was lost or run twice.
#
#     tools/demo.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
B=${1:-build}
REQUESTS=300
JOBS=30
IN_FLIGHT=8 # requests; so many may end as may_have_run at the kill
NODES=3
ZONES=(z1 z2 z3)
DEADLINE_S=150 # for all requests and jobs
READY_S=60     # until all nodes accept the key

log() { printf 'demo: %s\n' "$*"; }
fail() {
	log "$*" >&2
	exit 1
}

# ---- build ------------------------------------------------------------------

# Installs the packages that CI installs; they are listed only in .ci/run.
install_packages() {
	local p
	if pkg-config --exists glib-2.0 jansson libsodium libprotobuf-c \
	    libmicrohttpd libcurl gtest 2>/dev/null &&
	    command -v cmake >/dev/null && command -v ninja >/dev/null &&
	    command -v python3 >/dev/null && [ -f /usr/include/ev.h ]; then
		return
	fi
	p=$(sed -n '/^apt-get install/,/[^\\]$/p' .ci/run | tr -d '\\\n' |
	    sed 's/apt-get install//; s/ -[a-z]*//g; s/ *>.*//')
	log "installing packages"
	export DEBIAN_FRONTEND=noninteractive
	apt-get update -qq
	# shellcheck disable=SC2086
	apt-get install -y -qq $p >/dev/null
}

# ---- processes --------------------------------------------------------------

tmp=$(mktemp -d)
declare -A pid=() # process IDs of running processes, by name

# start NAME COMMAND...: starts the command in the background with its output in
# $tmp/NAME.out and .err.
start() {
	local name=$1
	shift
	"$@" >"$tmp/$name.out" 2>"$tmp/$name.err" &
	pid[$name]=$!
}

# stop NAME: sends SIGTERM and returns the exit status of the process.
stop() {
	local p=${pid[$1]} rc=0
	unset "pid[$1]"
	kill -TERM "$p" 2>/dev/null || true
	wait "$p" || rc=$?
	return $rc
}

clean_up() {
	local rc=$? name
	for name in "${!pid[@]}"; do
		kill -KILL "${pid[$name]}" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	if [ $rc -ne 0 ]; then
		log "failed; output is in $tmp"
	else
		rm -rf "$tmp"
	fi
}
trap clean_up EXIT
trap 'exit 1' INT TERM

# retry_for SECONDS COMMAND...: repeats the command until it succeeds.
retry_for() {
	local end=$((SECONDS + $1))
	shift
	until "$@"; do
		[ $SECONDS -lt $end ] || return 1
		sleep 0.2
	done
}

# get PORT PATH [KEY]: prints the whole response to a GET.
get() {
	local fd
	exec {fd}<>"/dev/tcp/127.0.0.1/$1" || return 1
	printf 'GET %s HTTP/1.0\r\nAuthorization: Bearer %s\r\n\r\n' \
	    "$2" "${3:-}" >&$fd
	cat <&$fd
	exec {fd}<&-
}

# answers PORT PATH [KEY]: whether the status of a GET is 200.
answers() { [[ $(get "$@" 2>/dev/null | head -1) == *' 200 '* ]]; }

# has_ports COUNT NAME: whether a stand-in has printed that many ports.
has_ports() { [ "$(grep -c '^port ' "$tmp/$2.out")" -eq "$1" ]; }

# addresses NAME: prints the addresses of a stand-in's servers, separated by
# commas.
addresses() {
	awk '/^port /{printf "%s127.0.0.1:%s", s, $2; s = ","}' "$tmp/$1.out"
}

free_ports() {
	python3 - "$1" <<'EOF'
import socket
import sys

taken = [socket.socket() for _ in range(int(sys.argv[1]))]
for s in taken:
    s.bind(("127.0.0.1", 0))
print(*(s.getsockname()[1] for s in taken))
EOF
}

# ---- configuration of the processes -----------------------------------------

write_hosts() {
	{
		awk '/^port /{printf "executor %s %s z%d r\n", $3, $2, n++ % 3 + 1}' \
		    "$tmp/executors.out"
		awk '/^port /{printf "worker %s %s %s %s\n", $3, $2, $4, $5}' \
		    "$tmp/workers.out"
		for ((i = 0; i < NODES; i++)); do
			echo "node n$((i + 1)) ${peer[i]} ${ZONES[i]} r"
		done
	} | awk '
	BEGIN { printf "{\"hosts\":[" }
	{
		printf "%s\n{\"role\":\"%s\",\"name\":\"%s\"," \
		    "\"addr\":\"127.0.0.1:%s\",\"zone\":\"%s\",\"rack\":\"%s\"}",
		    s, $1, $2, $3, $4, $5
		s = ","
	}
	END { print "]}" }' >"$tmp/hosts.json"
}

# write_settings INDEX HASH: writes the settings of one node.
write_settings() {
	cat >"$tmp/n$(($1 + 1)).json" <<EOF
{
	"node": {
		"name": "n$(($1 + 1))",
		"addr": "127.0.0.1:${peer[$1]}",
		"zone": "${ZONES[$1]}"
	},
	"listen": {
		"http": "127.0.0.1:${http[$1]}",
		"peer": "127.0.0.1:${peer[$1]}"
	},
	"platform": "$(addresses platform)",
	"seeds": ["127.0.0.1:${peer[0]}", "127.0.0.1:${peer[1]}"],
	"shards": 4,
	"operator_key_hash": "$2",
	"log_level": "info"
}
EOF
}

# ---- the run ----------------------------------------------------------------

# Prints the number of requests that all executors have run so far.
count_runs() {
	local p n=0
	for p in $(awk '/^port /{print $2}' "$tmp/executors.out"); do
		n=$((n + $(get "$p" /counts | grep -o '"runs"' | wc -l)))
	done
	echo $n
}
half_done() { [ "$(count_runs)" -ge $((REQUESTS / 2)) ]; }

install_packages
make B="$B" >/dev/null || fail "the build failed"
[ -x "$B/orioleglade" ] && [ -x "$B/oriolectl" ] ||
    fail "$B holds no orioleglade or oriolectl"

log "starting 4 executors, 12 workers and the platform"
start executors "$B/ogl-standin-executor" --count 4 \
    --history "$tmp/executors.jsonl"
start workers "$B/ogl-standin-worker" --count 12 --zone z1,z2,z3 \
    --history "$tmp/workers.jsonl"
retry_for 10 has_ports 4 executors || fail "the executors did not start"
retry_for 10 has_ports 12 workers || fail "the workers did not start"
read -ra ports < <(free_ports $((2 * NODES)))
http=("${ports[@]:0:NODES}")
peer=("${ports[@]:NODES:NODES}")
write_hosts
start platform "$B/ogl-standin-platform" --hosts "$tmp/hosts.json" \
    --history "$tmp/platform.jsonl"
retry_for 10 has_ports 1 platform || fail "the platform did not start"

log "starting $NODES nodes"
{
	read -r operator_key
	read -r operator_hash
} < <("$B/oriolectl" key hash)
nodes=
for ((i = 0; i < NODES; i++)); do
	write_settings $i "$operator_hash"
	start "n$((i + 1))" "$B/orioleglade" --settings "$tmp/n$((i + 1)).json"
	nodes+=${nodes:+,}127.0.0.1:${http[i]}
done
for p in "${http[@]}"; do
	retry_for $READY_S answers "$p" /readyz || fail "port $p is not ready"
done

ctl=("$B/oriolectl" --node "127.0.0.1:${http[0]}" --key "$operator_key")
"${ctl[@]}" team add demo || fail "no team"
key=$("${ctl[@]}" key create demo | head -1)
for p in "${http[@]}"; do
	retry_for $READY_S answers "$p" /v1/jobs "$key" ||
	    fail "port $p does not accept the key"
done

log "sending $REQUESTS requests and $JOBS jobs through $nodes"
start requests "$B/ogl-standin-caller" --nodes "$nodes" --key "$key" \
    --count $REQUESTS --concurrency $IN_FLIGHT --ids --run-ms 40 --seed 11 \
    --executors "$(addresses executors)" --team demo \
    --want-ran $((REQUESTS - IN_FLIGHT)) \
    --deadline-s $DEADLINE_S --history "$tmp/requests.jsonl"
start jobs "$B/ogl-standin-caller" --nodes "$nodes" --key "$key" \
    --mode jobs --kinds batch,service,gang --count $JOBS --tasks 3 \
    --run-ms 2000 --seed 12 --workers "$(addresses workers)" --want-ran $JOBS \
    --deadline-s $DEADLINE_S --team demo --history "$tmp/jobs.jsonl"

retry_for $DEADLINE_S half_done || fail "half of the requests never ran"
log "killing n2"
kill -KILL "${pid[n2]}"
wait "${pid[n2]}" 2>/dev/null || true
unset "pid[n2]"

ok=true
for name in requests jobs; do
	rc=0
	wait "${pid[$name]}" || rc=$?
	unset "pid[$name]"
	[ $rc -eq 0 ] || ok=false
	sed 's/\(.*\) \([0-9.]* *[us/]*s*\)$/\1\t\2/' "$tmp/$name.out" |
	    awk -F '\t' -v n=$name '{printf "  %-9s %-20s %s\n", n, $1, $2}'
	cat "$tmp/$name.err" >&2
done

log "stopping"
for name in n1 n3 executors workers platform; do
	stop $name || {
		log "$name did not stop cleanly"
		ok=false
	}
done
"$B/orioleglade-check" "$tmp"/*.jsonl || ok=false
$ok || fail "work was lost, refused or run twice, or a process failed"
log "nothing was lost or run twice"
