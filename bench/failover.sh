#!/bin/sh
# What failures and changes cost, in a cell of three nodes: settings edits and
# withdrawn keys until they hold everywhere and at a node cut off, work served
# while the log is down, and a killed owner until its shards place again.
# usage: bench/failover.sh BUILD
#
# OGL_OUTAGE_S is the length of the outage; OGL_BENCH_RUNS how often edits,
# withdrawals and kills are repeated (the median counts).
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
