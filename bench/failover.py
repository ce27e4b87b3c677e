# Measures failovers and changes in the cell that failover.sh starts.
import concurrent.futures
import json
import os
import signal
import statistics
import subprocess
import sys
import threading
import time

from cell import ask

bin_dir, cell_dir, platform, op, team_key = sys.argv[1:6]
outage_s, runs = float(sys.argv[6]), int(sys.argv[7])
nodes = sys.argv[8:]
names = ["n%d" % (i + 1) for i in range(len(nodes))]
DEADLINE_S = 30
REQUESTS_PER_S = 100
POLL_S = 0.002


def fail(text):
    sys.exit("failover: " + text)


def until(done, what):
    """Waits until done() is true.  Returns the seconds waited."""
    start = time.monotonic()
    while not done():
        if time.monotonic() - start > DEADLINE_S:
            fail("waited too long for " + what)
        time.sleep(POLL_S)
    return time.monotonic() - start


def until_on_all(done, what):
    """Waits in parallel until done(addr) is true for each node.  Returns the
    seconds until the last one."""
    with concurrent.futures.ThreadPoolExecutor(len(nodes)) as pool:
        return max(pool.map(lambda a: until(lambda: done(a), what), nodes))


def call(addr, method, path, body=None):
    status, text = ask(addr, method, path, op,
                       json.dumps(body) if body is not None else None)
    return status, json.loads(text) if status // 100 == 2 and text else text


def cut(*who):
    # The rename is atomic, so a relay never reads a partial list.
    part = os.path.join(cell_dir, "cut.new")
    with open(part, "w") as f:
        f.write(" ".join(who))
    os.rename(part, os.path.join(cell_dir, "cut"))


# ---- settings and keys ------------------------------------------------------


def version(addr):
    status, v = call(addr, "GET", "/v1/status")
    return v["settings_version"] if status == 200 else 0


def config_in_force():
    status, v = call(nodes[0], "GET", "/v1/status")
    status, v = call(nodes[0], "POST", "/v1/settings", {
        "base_version": v["settings_version"],
        "changes": [{"path": "teams/bench/share",
                     "value": str(time.time_ns() % 1000 + 1)}]})
    if status != 200:
        fail("edit: %d %s" % (status, v))
    return 1000 * until_on_all(lambda a: version(a) >= v["version"], "an edit")


def request(addr, key, timeout=10):
    return ask(addr, "POST", "/v1/requests", key, "run_ms=1",
               {"Ogl-Kind": "probe", "Ogl-Idempotent": "1"}, timeout)[0]


def new_key():
    status, v = call(nodes[0], "POST", "/v1/keys", {"team": "bench"})
    if status != 201:
        fail("key: %d %s" % (status, v))
    until_on_all(lambda a: request(a, v["key"]) == 200, "a new key")
    return v


def withdraw(k):
    status, text = call(nodes[0], "DELETE", "/v1/keys/" + k["id"])
    if status // 100 != 2:
        fail("withdrawal: %d %s" % (status, text))


def key_withdrawn():
    k = new_key()
    withdraw(k)
    return 1000 * until_on_all(
        lambda a: request(a, k["key"]) in (401, 403), "a withdrawal")


def key_withdrawn_cutoff():
    """Time until a node that is cut off refuses a withdrawn key because its
    settings are too old."""
    k = new_key()
    cut(names[2])
    withdraw(k)
    s = until(lambda: request(nodes[2], k["key"]) not in (0, 200),
              "a refusal of the node cut off")
    cut()
    until(lambda: ask(nodes[2], "GET", "/readyz")[0] == 200, "its return")
    return 1000 * s


# ---- outage of the log ------------------------------------------------------


class Load:
    """Sends short requests at a constant rate, regardless of failures."""

    def __init__(self):
        self.sent = self.ran = 0
        self.failures = {}
        self.lock = threading.Lock()
        self.running = True
        self.pool = concurrent.futures.ThreadPoolExecutor(64)
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def one(self, i):
        status = request(nodes[i % len(nodes)], team_key)
        with self.lock:
            self.sent += 1
            self.ran += status == 200
            if status != 200:
                self.failures[status] = self.failures.get(status, 0) + 1

    def run(self):
        i = 0
        due = time.monotonic()
        while self.running:
            self.pool.submit(self.one, i)
            i += 1
            due += 1 / REQUESTS_PER_S
            time.sleep(max(0, due - time.monotonic()))

    def stop(self):
        self.running = False
        self.thread.join()
        self.pool.shutdown()


def submit(addr, tasks, run_ms, request_id):
    return ask(addr, "POST", "/v1/jobs", team_key, json.dumps({
        "kind": "batch", "tasks": tasks, "run_ms": run_ms,
        "payload": "run_ms=%d" % run_ms, "restartable": True,
        "request_id": request_id,
        "res": {"cpu_milli": 1000, "mem_mb": 64, "accel": 0}}), timeout=5)


def starts_between(a, b):
    """Rate of task starts at the workers between two times, per second."""
    n = 0
    with open(os.path.join(cell_dir, "workers.out")) as f:
        ports = [line.split()[1] for line in f if line.startswith("port ")]
    for port in ports:
        v = json.loads(ask("127.0.0.1:" + port, "GET", "/counts")[1])
        n += sum(e["event"] == "start" and a <= e["at_us"] / 1e6 < b
                 for e in v["events"])
    return n / (b - a)


def platform_ctl(**order):
    if ask(platform, "POST", "/ctl", "", json.dumps(order))[0] != 200:
        fail("the platform refused the command")


def count_requests(load, seconds):
    """Counts for so many seconds.  Returns the requests sent, the requests run
    and the interval of time."""
    start = time.time()
    sent, ran = load.sent, load.ran
    time.sleep(seconds)
    return load.sent - sent, load.ran - ran, (start, time.time())


def outage():
    # Enough work in all shards to keep the workers fully used throughout.
    # Run times differ: with equal ones tasks start in waves, and one wave more
    # or less at the edge of an interval looks like a loss of several percent.
    # All are within one power of two, where the queue orders by age: if it
    # started short tasks first, the rate of starts would fall over time.
    for i in range(48):
        status, text = submit(nodes[i % len(nodes)],
                              int(24 * 16 * (outage_s + 35) / 48 * 2),
                              1030 + i * 97 % 260,
                              "outage-%d" % i)
        if status != 202:
            fail("submission: %d %s" % (status, text))
    load = Load()
    time.sleep(16)  # a restarted node gets its shards back after 10 s
    sent0, ran0, interval0 = count_requests(load, 8)
    platform_ctl(outage=True)
    load.failures.clear()
    sent1, ran1, interval1 = count_requests(load, outage_s)
    refused = submit(nodes[0], 1, 1, "refused")[0]
    platform_ctl(outage=False)
    outage_end = time.monotonic()
    i = 0
    while submit(nodes[i % len(nodes)], 1, 1, "back-%d" % i)[0] != 202:
        i += 1
        if time.monotonic() - outage_end > DEADLINE_S:
            fail("no submission is taken after the outage")
        time.sleep(0.02)
    recover = time.monotonic() - outage_end
    load.stop()
    requests = 100 * (ran1 / sent1) / (ran0 / sent0)
    starts0, starts1 = starts_between(*interval0), starts_between(*interval1)
    starts = 100 * starts1 / starts0
    print("outage_s %g s" % outage_s)
    print("outage_requests_served_pct %.2f %%" % requests)
    print("outage_starts_served_pct %.2f %%" % starts)
    print("outage_served_pct %.2f %%" % min(requests, starts))
    print("outage_starts_before_per_s %.1f /s" % starts0)
    print("outage_starts_per_s %.1f /s" % starts1)
    print("recover_s %.2f s" % recover)
    if refused == 202:
        fail("a job was accepted without the log")
    if load.failures:
        print("failover: requests not served, by status: %s" % load.failures,
              file=sys.stderr)


# ---- takeover after an owner is killed --------------------------------------


def shards():
    status, v = call(nodes[0], "GET", "/v1/shards")
    return v if status == 200 else None


def submit_until_started(addr, i, run):
    """Submits a job repeatedly until it is accepted and has started.  Returns
    its shard and the time of the start."""
    end = time.monotonic() + DEADLINE_S
    while time.monotonic() < end:
        status, text = submit(addr, 1, 50, "kill-%d-%d" % (run, i))
        if status == 202:
            v = json.loads(text)
            if v["state"] in ("active", "done"):
                return int(v["job"][1:].split("-")[0]), time.monotonic()
        time.sleep(0.02)
    return None, 0


def owners():
    """Returns a map from shard to name of its owner, as the owners report."""
    owner_of = {}
    for addr, name in zip(nodes, names):
        status, v = call(addr, "GET", "/v1/status")
        if status == 200:
            owner_of.update({s: name for s in v["shards_owned"]})
    return owner_of


def takeover(run):
    """Kills the node with the most shards and submits jobs until all have
    started.  Their IDs are so many that each shard gets some of the jobs.
    Returns the seconds from the kill to the last start in a shard of the
    killed node."""
    until(lambda: len(owners()) == 4, "an owner for each shard")
    owner_of = owners()
    victim = max(names, key=lambda n: sum(o == n for o in owner_of.values()))
    lost = {s for s, o in owner_of.items() if o == victim}
    at = names.index(victim)
    survivors = [a for a in nodes if a != nodes[at]]
    with open(os.path.join(cell_dir, victim + ".pid")) as f:
        pid = int(f.read())
    os.kill(pid, signal.SIGKILL)
    killed = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        started = list(pool.map(
            lambda i: submit_until_started(survivors[i % 2], i, run),
            range(32)))
    if None in [s for s, _ in started]:
        fail("a job never started after the kill")
    if not lost <= {s for s, _ in started}:
        fail("no job went to a shard of the killed node")
    seconds = max(t for s, t in started if s in lost) - killed
    # Restart the node under the same name.
    with open(os.path.join(cell_dir, victim + ".err"), "a") as err:
        p = subprocess.Popen(
            [os.path.join(bin_dir, "orioleglade"), "--settings",
             os.path.join(cell_dir, victim + ".json")],
            stdout=subprocess.DEVNULL, stderr=err)
    with open(os.path.join(cell_dir, victim + ".pid"), "w") as f:
        f.write("%d\n" % p.pid)
    until(lambda: ask(nodes[at], "GET", "/readyz")[0] == 200, "a restart")
    return seconds


def print_runs(name, unit, fmt, fn):
    values = [fn(i) for i in range(runs)]
    print("%s %s %s" % (name, fmt % statistics.median(values), unit))
    print("%s_most %s %s" % (name, fmt % max(values), unit), flush=True)


print_runs("config_in_force_ms", "ms", "%.0f", lambda i: config_in_force())
print_runs("key_withdrawn_ms", "ms", "%.0f", lambda i: key_withdrawn())
print_runs("key_withdrawn_cutoff_ms", "ms", "%.0f",
           lambda i: key_withdrawn_cutoff())
print_runs("takeover_s", "s", "%.2f", takeover)
outage()
