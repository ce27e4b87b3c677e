#!/bin/sh
# Compares short requests through one node with the same requests sent directly
# to an executor: latency with one request at a time, and the rate with many.
# usage: bench/path.sh BUILD
set -eu
B=$1
RUNS=${OGL_BENCH_RUNS:-3}
T=$(mktemp -d)
pids=
quit() {
	for p in $pids; do kill "$p" 2>/dev/null || :; done
	wait 2>/dev/null || :
	rm -rf "$T"
}
trap quit EXIT INT TERM

# run NAME COMMAND...: starts the command in the background.
run() {
	n=$1
	shift
	"$@" >"$T/$n.out" 2>"$T/$n.err" &
	pids="$pids $!"
}
# ports NAME COUNT: waits until a stand-in has printed its ports, prints them.
ports() {
	i=0
	while [ "$(grep -c '^port ' "$T/$1.out")" -lt "$2" ]; do
		i=$((i + 1))
		[ $i -lt 100 ] || { echo "$1 did not start" >&2; exit 1; }
		sleep 0.1
	done
	sed -n 's/^port \([0-9]*\).*/\1/p' "$T/$1.out"
}
free_port() {
	python3 -c 'import socket
s = socket.socket(); s.bind(("127.0.0.1", 0)); print(s.getsockname()[1])'
}

for k in 1 2 3; do
	run "ex$k" "$B/ogl-standin-executor" --count 4 --slots 64 --name "x$k"
done
list=
for k in 1 2 3; do
	for p in $(ports "ex$k" 4); do
		list="$list,{\"name\":\"x$p\",\"addr\":\"127.0.0.1:$p\",\"role\":\"executor\",\"zone\":\"z1\",\"rack\":\"r\"}"
		one=$p
	done
done
echo "{\"hosts\":[${list#,}]}" >"$T/hosts.json"
run platform "$B/ogl-standin-platform" --hosts "$T/hosts.json" --lag-ms 0
plat=$(ports platform 1)
http=$(free_port)
peer=$(free_port)
op=$("$B/oriolectl" key hash)
key=$(echo "$op" | sed -n 1p)
hash=$(echo "$op" | sed -n 2p)
cat >"$T/n.json" <<X
{"node":{"name":"n1","addr":"127.0.0.1:$peer","zone":"z1"},
 "listen":{"http":"127.0.0.1:$http","peer":"127.0.0.1:$peer"},
 "platform":"127.0.0.1:$plat","seeds":[],"shards":1,
 "operator_key_hash":"$hash","log_level":"warn",
 "timings":{"exec_slots":64}}
X
run node "$B/orioleglade" --settings "$T/n.json"
node=${pids##* }
i=0
until curl -sf "http://127.0.0.1:$http/readyz" >/dev/null; do
	i=$((i + 1))
	[ $i -lt 100 ] || { cat "$T/node.err" >&2; exit 1; }
	sleep 0.1
done
ctl="$B/oriolectl --node 127.0.0.1:$http --key $key"
$ctl team add bench >/dev/null
tk=$($ctl key create bench | sed -n 1p)
sleep 0.5

# load ARGS...: runs a caller once; prints p50, p99 and rate.
load() {
	"$B/ogl-standin-caller" --key "$tk" --team bench --run-ms 1 \
	    --idempotent "$@" |
	    awk '$1=="p50"{a=$2} $1=="p99"{b=$2} $1=="rate"{c=$2}
		END{print a, b, c}'
}
median() { sort -n | awk '{v[NR]=$1} END{print v[int((NR+1)/2)]}'; }
N=127.0.0.1:$http
X=127.0.0.1:$one
r=1
while [ $r -le "$RUNS" ]; do
	load --direct --nodes "$X" --count 3000 --concurrency 1 --seed "1$r" >>"$T/d"
	load --nodes "$N" --count 3000 --concurrency 1 --seed "2$r" >>"$T/v"
	load --direct --nodes "$X" --count 6000 --concurrency 16 --seed "5$r" >>"$T/d16"
	load --nodes "$N" --count 6000 --concurrency 16 --seed "6$r" >>"$T/v16"
	c0=$(awk '{print $14+$15}' "/proc/$node/stat")
	load --nodes "$N" --count 40000 --concurrency 150 --seed "3$r" >"$T/l1" &
	l1=$!
	load --nodes "$N" --count 40000 --concurrency 150 --seed "4$r" >"$T/l2"
	wait $l1
	c1=$(awk '{print $14+$15}' "/proc/$node/stat")
	awk '{s+=$3} END{print s}' "$T/l1" "$T/l2" >>"$T/rate"
	echo $(((c1 - c0) * 10000 / 80)) | awk '{print $1/1000}' >>"$T/cpu"
	r=$((r + 1))
done
d50=$(awk '{print $1}' "$T/d" | median)
v50=$(awk '{print $1}' "$T/v" | median)
echo "req_direct_p50_us $d50 us"
echo "req_p50_us $v50 us"
echo "req_added_p50_us $((v50 - d50)) us"
echo "req_p50_ratio $(awk "BEGIN{print $v50/$d50}") ratio"
d16=$(awk '{print $1}' "$T/d16" | median)
v16=$(awk '{print $1}' "$T/v16" | median)
echo "req_direct_p50_us_16 $d16 us"
echo "req_p50_us_16 $v16 us"
echo "req_added_p50_us_16 $((v16 - d16)) us"
echo "req_direct_p99_us $(awk '{print $2}' "$T/d" | median) us"
echo "req_p99_us $(awk '{print $2}' "$T/v" | median) us"
echo "req_per_s $(median <"$T/rate") /s"
echo "req_cpu_us $(median <"$T/cpu") us"
echo "node_rss_mb $(awk '/VmRSS/{print $2/1024}' "/proc/$node/status") MB"
