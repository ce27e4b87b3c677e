#!/bin/sh
# Seeded runs of a simulated cell per second, in the threads of the test.
# usage: bench/seeds.sh BUILD
set -eu
N=${OGL_SEEDS:-200}
t0=$(date +%s%N)
OGL_SEEDS=$N "$1/test_cluster_seeds" --gtest_brief=1 \
    --gtest_filter='*HoldUnderRandomFaults' >/dev/null
t1=$(date +%s%N)
awk "BEGIN{printf \"seeds_per_s %.1f /s\\n\", $N * 1e9 / ($t1 - $t0)}"
