#!/bin/sh
# Batch jobs of many short tasks through 8 nodes: task starts a second, log
# appends a second over all streams, and what a node costs meanwhile.
# usage: bench/starts.sh BUILD
#
# OGL_STARTS_JOBS and OGL_STARTS_TASKS set the load; workers are so large
# that they never limit.  A start counts once the task has run and its end
# has come back to its owner: the nodes' own count of starts runs ahead, for
# it counts placements, and starts of queued messages would be told as done.
# Only the middle of the run counts, from a tenth to nine tenths.
set -eu
. "$(dirname "$0")/../tools/cell.sh"
JOBS=${OGL_STARTS_JOBS:-256}
TASKS=${OGL_STARTS_TASKS:-1000}
NODES=8
SHARDS=${OGL_STARTS_SHARDS:-8}
SERVERS=4 # processes, each of a quarter of the workers
WORKERS=16

cell_begin "$1"
i=0
while [ $i -lt $SERVERS ]; do
	i=$((i + 1))
	cell_run "workers$i" "$cell_bin/ogl-standin-worker" \
	    --count $WORKERS --name "w$i-" --zone z1,z2,z3 \
	    --cpu 4000000 --mem 4000000
	cell_wait_ports "workers$i" $WORKERS
done
cell_platform --lag-ms 0
cell_nodes $NODES "$SHARDS"
cell_team bench
pids=
for n in 1 2 3 4 5 6 7 8; do
	pids="$pids $(cell_pid "n$n")"
done

# shellcheck disable=SC2086
python3 "$(dirname "$0")/starts.py" "$cell_platform_addr" "$cell_key" \
    "$JOBS" "$TASKS" $cell_http $pids
