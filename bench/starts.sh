#!/bin/sh
# Batch jobs of many short tasks on 8 nodes: task starts per second, appends to
# the log per second over all streams, and processor time and memory of a node.
# usage: bench/starts.sh BUILD
#
# OGL_STARTS_JOBS and OGL_STARTS_TASKS set the load.  The workers are large
# enough never to limit it.  A start is counted when the owner knows the end of
# the task: the nodes' own counter of starts counts placements, including those
# whose message to the worker is still queued.  Only the middle of the run is
# measured, from 10% to 90% of the starts.
set -eu
. "$(dirname "$0")/../tools/cell.sh"
JOBS=${OGL_STARTS_JOBS:-256}
TASKS=${OGL_STARTS_TASKS:-1000}
NODES=8
SHARDS=${OGL_STARTS_SHARDS:-8}
SERVERS=4  # worker processes
WORKERS=16 # per process

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
