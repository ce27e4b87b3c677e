#!/bin/sh
# Runs every measurement; each prints lines `name value unit`.  With `short`,
# runs those that take seconds, with little load, to see that they still run.
# The exit status is 0 if all of them ended well.
# usage: tools/bench.sh BUILD [short]
b=$1
programs=$(find "$b" -maxdepth 1 -name 'bench_*' -type f -perm -u+x | sort)
if [ "${2:-}" = short ]; then
	programs="$b/bench_large $b/bench_owner $b/bench_place $b/bench_route"
	export OGL_BENCH_RUNS=1 OGL_OUTAGE_S=3 OGL_SEEDS=10
	export OGL_STARTS_JOBS=32 OGL_STARTS_TASKS=200 OGL_PATH_REQUESTS=2000
fi
failed=0
for t in $programs; do
	"$t" || { echo "$t: failed"; failed=1; }
done
for s in bench/*.sh; do
	sh "$s" "$b" || { echo "$s: failed"; failed=1; }
done
exit $failed
