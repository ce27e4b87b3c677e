# Submits the jobs of starts.sh and samples the counters.

import concurrent.futures
import json
import os
import re
import sys
import time

from cell import ask, counter

platform, key, jobs, tasks = sys.argv[1], sys.argv[2], *map(int, sys.argv[3:5])
rest = sys.argv[5:]
nodes, pids = rest[:len(rest) // 2], rest[len(rest) // 2:]
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
DEADLINE_S = 120


def cpu_s(pid):
    f = open("/proc/%s/stat" % pid).read().rsplit(")", 1)[1].split()
    return (int(f[11]) + int(f[12])) / CLOCK_TICKS_PER_S


def rss_mb(pid):
    text = open("/proc/%s/status" % pid).read()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024


def sample():
    with concurrent.futures.ThreadPoolExecutor(len(nodes)) as pool:
        starts = sum(pool.map(
            lambda a: counter(a, "task_ends_total"), nodes))
    counts = json.loads(ask(platform, "GET", "/counts")[1])
    return {"at": time.monotonic(), "starts": starts,
            "appends": counts["appends"], "limited": counts["limited"],
            "cpu": [cpu_s(p) for p in pids], "rss": [rss_mb(p) for p in pids]}


def submit(i):
    body = json.dumps({
        "kind": "batch", "tasks": tasks, "run_ms": 200, "restartable": True,
        "payload": "run_ms=200", "request_id": "s-%d" % i,
        "res": {"cpu_milli": 500, "mem_mb": 256, "accel": 0}})
    for _ in range(20):
        status, text = ask(
            nodes[i % len(nodes)], "POST", "/v1/jobs", key, body)
        if status == 202:
            return
        time.sleep(0.2)
    sys.exit("submit: %d %s" % (status, text))


before = sample()
submitting = concurrent.futures.ThreadPoolExecutor(8)
sent = submitting.map(submit, range(jobs))
total = jobs * tasks
samples = [before]
end = time.monotonic() + DEADLINE_S
while samples[-1]["starts"] - before["starts"] < total:
    time.sleep(0.1)
    samples.append(sample())
    if time.monotonic() > end:
        sys.exit("starts: %d of %d started" % (
            samples[-1]["starts"] - before["starts"], total))
list(sent)
middle = [s for s in samples
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
