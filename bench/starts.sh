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
python3 - "$cell_platform_addr" "$cell_key" "$JOBS" "$TASKS" $cell_http \
    $pids <<'PY'
import concurrent.futures
import http.client
import json
import os
import re
import sys
import time

platform, key, jobs, tasks = sys.argv[1], sys.argv[2], *map(int, sys.argv[3:5])
rest = sys.argv[5:]
nodes, pids = rest[:len(rest) // 2], rest[len(rest) // 2:]
TICK = os.sysconf("SC_CLK_TCK")
DEADLINE_S = 120


def ask(addr, method, path, body=None):
    c = http.client.HTTPConnection(addr, timeout=30)
    c.request(method, path, body, {"Authorization": "Bearer " + key})
    r = c.getresponse()
    text = r.read().decode()
    c.close()
    return r.status, text


def counter(addr, name):
    text = ask(addr, "GET", "/metrics")[1]
    return int(re.search(r"^orioleglade_%s (\d+)" % name, text, re.M).group(1))


def cpu(pid):
    f = open("/proc/%s/stat" % pid).read().rsplit(")", 1)[1].split()
    return (int(f[11]) + int(f[12])) / TICK


def rss(pid):
    text = open("/proc/%s/status" % pid).read()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024


def sample():
    with concurrent.futures.ThreadPoolExecutor(len(nodes)) as pool:
        starts = sum(pool.map(
            lambda a: counter(a, "task_ends_total"), nodes))
    counts = json.loads(ask(platform, "GET", "/counts")[1])
    return {"at": time.monotonic(), "starts": starts,
            "appends": counts["appends"], "limited": counts["limited"],
            "cpu": [cpu(p) for p in pids], "rss": [rss(p) for p in pids]}


def submit(i):
    body = json.dumps({
        "kind": "batch", "tasks": tasks, "run_ms": 200, "restartable": True,
        "payload": "run_ms=200", "request_id": "s-%d" % i,
        "res": {"cpu_milli": 500, "mem_mb": 256, "accel": 0}})
    for _ in range(20):
        status, text = ask(nodes[i % len(nodes)], "POST", "/v1/jobs", body)
        if status == 202:
            return
        time.sleep(0.2)
    sys.exit("submit: %d %s" % (status, text))


before = sample()
submitting = concurrent.futures.ThreadPoolExecutor(8)
sent = submitting.map(submit, range(jobs))
total = jobs * tasks
seen = [before]
end = time.monotonic() + DEADLINE_S
while seen[-1]["starts"] - before["starts"] < total:
    time.sleep(0.1)
    seen.append(sample())
    if time.monotonic() > end:
        sys.exit("starts: %d of %d started" % (
            seen[-1]["starts"] - before["starts"], total))
list(sent)
middle = [s for s in seen
          if 0.1 * total <= s["starts"] - before["starts"] <= 0.9 * total]
a, b = middle[0], middle[-1]
s = b["at"] - a["at"]
n = b["starts"] - a["starts"]
busy = [y - x for x, y in zip(a["cpu"], b["cpu"])]
print("starts_per_s %.0f /s" % (n / s))
print("log_appends_per_s %.0f /s" % ((b["appends"] - a["appends"]) / s))
print("log_limited_per_s %.0f /s" % ((b["limited"] - a["limited"]) / s))
print("starts_node_cpu_pct %.0f %%" % (100 * sum(busy) / len(busy) / s))
print("starts_node_cpu_most_pct %.0f %%" % (100 * max(busy) / s))
print("starts_cpu_us %.0f us" % (1e6 * sum(busy) / n))
print("starts_node_rss_mb %.1f MB" % max(b["rss"]))
print("starts_window_s %.1f s" % s)
PY
