#!/bin/sh
# Measures in a cell of three nodes: the time until an edit of the settings or
# the withdrawal of a key is in force on all nodes and on a node that is cut
# off, the work served during an outage of the log, and the time from the kill
# of an owner until its shards place tasks again.
# usage: bench/failover.sh BUILD
#
# OGL_OUTAGE_S is the length of the outage in seconds.  OGL_BENCH_RUNS is the
# number of edits, withdrawals and kills; their median is printed.
set -eu
. "$(dirname "$0")/../tools/cell.sh"

cell_begin "$1"
cell_run executors "$cell_bin/ogl-standin-executor" --count 6
cell_run workers "$cell_bin/ogl-standin-worker" --count 24 --zone z1,z2,z3
cell_wait_ports executors 6
cell_wait_ports workers 24
cell_platform
cell_relay=yes
cell_nodes 3 4
cell_team bench
# shellcheck disable=SC2086
python3 "$(dirname "$0")/failover.py" "$cell_bin" "$cell_dir" \
    "$cell_platform_addr" "$cell_op_key" "$cell_key" \
    "${OGL_OUTAGE_S:-40}" "${OGL_BENCH_RUNS:-3}" $cell_http
