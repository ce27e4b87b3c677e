#!/bin/sh
# Compares short requests through one node with the same requests sent directly
# to an executor: latency with one request at a time, and the rate with many.
# usage: bench/path.sh BUILD
#
# OGL_PATH_REQUESTS is the number of requests of each of the two callers that
# measure the rate; the others send in proportion.
set -eu
bin_dir=$1
RUNS=${OGL_BENCH_RUNS:-3}
REQUESTS=${OGL_PATH_REQUESTS:-40000}
FEW=$((REQUESTS * 3 / 40))
tmp=$(mktemp -d)
pids=
clean_up() {
	for p in $pids; do kill "$p" 2>/dev/null || :; done
	wait 2>/dev/null || :
	rm -rf "$tmp"
}
trap clean_up EXIT INT TERM

# run NAME COMMAND...: starts the command in the background.
run() {
	n=$1
	shift
	"$@" >"$tmp/$n.out" 2>"$tmp/$n.err" &
	pids="$pids $!"
}
# ports NAME COUNT: waits until a stand-in has printed its ports, prints them.
ports() {
	i=0
	while [ "$(grep -c '^port ' "$tmp/$1.out")" -lt "$2" ]; do
		i=$((i + 1))
		[ $i -lt 100 ] || { echo "$1 did not start" >&2; exit 1; }
		sleep 0.1
	done
	sed -n 's/^port \([0-9]*\).*/\1/p' "$tmp/$1.out"
}
free_port() {
	python3 -c 'import socket
s = socket.socket(); s.bind(("127.0.0.1", 0)); print(s.getsockname()[1])'
}

for k in 1 2 3; do
	run "ex$k" "$bin_dir/ogl-standin-executor" --count 4 --slots 64 --name "x$k"
done
list=
for k in 1 2 3; do
	for p in $(ports "ex$k" 4); do
		list="$list,{\"name\":\"x$p\",\"addr\":\"127.0.0.1:$p\",\"role\":\"executor\",\"zone\":\"z1\",\"rack\":\"r\"}"
		executor_port=$p
	done
done
echo "{\"hosts\":[${list#,}]}" >"$tmp/hosts.json"
run platform "$bin_dir/ogl-standin-platform" --hosts "$tmp/hosts.json" --lag-ms 0
platform_port=$(ports platform 1)
http_port=$(free_port)
peer_port=$(free_port)
op=$("$bin_dir/oriolectl" key hash)
key=$(echo "$op" | sed -n 1p)
hash=$(echo "$op" | sed -n 2p)
cat >"$tmp/n.json" <<X
{"node":{"name":"n1","addr":"127.0.0.1:$peer_port","zone":"z1"},
 "listen":{"http":"127.0.0.1:$http_port","peer":"127.0.0.1:$peer_port"},
 "platform":"127.0.0.1:$platform_port","seeds":[],"shards":1,
 "operator_key_hash":"$hash","log_level":"warn",
 "timings":{"exec_slots":64}}
X
run node "$bin_dir/orioleglade" --settings "$tmp/n.json"
node=${pids##* }
i=0
until curl -sf "http://127.0.0.1:$http_port/readyz" >/dev/null; do
	i=$((i + 1))
	[ $i -lt 100 ] || { cat "$tmp/node.err" >&2; exit 1; }
	sleep 0.1
done
ctl="$bin_dir/oriolectl --node 127.0.0.1:$http_port --key $key"
$ctl team add bench >/dev/null
team_key=$($ctl key create bench | sed -n 1p)
sleep 0.5

# load ARGS...: runs a caller once; prints p50, p99 and rate.
load() {
	"$bin_dir/ogl-standin-caller" --key "$team_key" --team bench --run-ms 1 \
	    --idempotent "$@" |
	    awk '$1=="p50"{a=$2} $1=="p99"{b=$2} $1=="rate"{c=$2}
		END{print a, b, c}'
}
median() { sort -n | awk '{v[NR]=$1} END{print v[int((NR+1)/2)]}'; }
node_addr=127.0.0.1:$http_port
executor_addr=127.0.0.1:$executor_port
r=1
while [ $r -le "$RUNS" ]; do
	load --direct --nodes "$executor_addr" --count $FEW --concurrency 1 --seed "1$r" >>"$tmp/d"
	load --nodes "$node_addr" --count $FEW --concurrency 1 --seed "2$r" >>"$tmp/v"
	load --direct --nodes "$executor_addr" --count $((FEW * 2)) --concurrency 16 --seed "5$r" >>"$tmp/d16"
	load --nodes "$node_addr" --count $((FEW * 2)) --concurrency 16 --seed "6$r" >>"$tmp/v16"
	ticks_before=$(awk '{print $14+$15}' "/proc/$node/stat")
	load --nodes "$node_addr" --count $REQUESTS --concurrency 150 --seed "3$r" >"$tmp/l1" &
	l1=$!
	load --nodes "$node_addr" --count $REQUESTS --concurrency 150 --seed "4$r" >"$tmp/l2"
	wait $l1
	ticks_after=$(awk '{print $14+$15}' "/proc/$node/stat")
	awk '{s+=$3} END{print s}' "$tmp/l1" "$tmp/l2" >>"$tmp/rate"
	echo $(((ticks_after - ticks_before) * 10000000 / (2 * REQUESTS))) | awk '{print $1/1000}' >>"$tmp/cpu"
	r=$((r + 1))
done
d50=$(awk '{print $1}' "$tmp/d" | median)
v50=$(awk '{print $1}' "$tmp/v" | median)
echo "req_direct_p50_us $d50 us"
echo "req_p50_us $v50 us"
echo "req_added_p50_us $((v50 - d50)) us"
echo "req_p50_ratio $(awk "BEGIN{print $v50/$d50}") ratio"
d16=$(awk '{print $1}' "$tmp/d16" | median)
v16=$(awk '{print $1}' "$tmp/v16" | median)
echo "req_direct_p50_us_16 $d16 us"
echo "req_p50_us_16 $v16 us"
echo "req_added_p50_us_16 $((v16 - d16)) us"
echo "req_direct_p99_us $(awk '{print $2}' "$tmp/d" | median) us"
echo "req_p99_us $(awk '{print $2}' "$tmp/v" | median) us"
echo "req_per_s $(median <"$tmp/rate") /s"
echo "req_cpu_us $(median <"$tmp/cpu") us"
echo "node_rss_mb $(awk '/VmRSS/{print $2/1024}' "/proc/$node/status") MB"
