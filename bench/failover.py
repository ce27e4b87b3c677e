# The part of failover.sh that drives the cell and watches it.
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
    """Seconds until done() holds."""
    began = time.monotonic()
    while not done():
        if time.monotonic() - began > DEADLINE_S:
            fail("waited too long for " + what)
        time.sleep(POLL_S)
    return time.monotonic() - began


def everywhere(done, what):
    """Seconds until done(node) holds at each, asked side by side."""
    with concurrent.futures.ThreadPoolExecutor(len(nodes)) as pool:
        return max(pool.map(lambda a: until(lambda: done(a), what), nodes))


def call(addr, method, path, body=None):
    status, text = ask(addr, method, path, op,
                       json.dumps(body) if body is not None else None)
    return status, json.loads(text) if status // 100 == 2 and text else text


def cut(*who):
    # Renamed into place: a relay must not read half a list.
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
    return 1000 * everywhere(lambda a: version(a) >= v["version"], "an edit")


def request(addr, key, timeout=10):
    return ask(addr, "POST", "/v1/requests", key, "run_ms=1",
               {"Ogl-Kind": "probe", "Ogl-Idempotent": "1"}, timeout)[0]


def new_key():
    status, v = call(nodes[0], "POST", "/v1/keys", {"team": "bench"})
    if status != 201:
        fail("key: %d %s" % (status, v))
    everywhere(lambda a: request(a, v["key"]) == 200, "a new key")
    return v


def withdraw(k):
    status, text = call(nodes[0], "DELETE", "/v1/keys/" + k["id"])
    if status // 100 != 2:
        fail("withdrawal: %d %s" % (status, text))


def key_withdrawn():
    k = new_key()
    withdraw(k)
    return 1000 * everywhere(
        lambda a: request(a, k["key"]) in (401, 403), "a withdrawal")


def key_withdrawn_cutoff():
    """At a node cut off it is refused for want of fresh settings."""
    k = new_key()
    cut(names[2])
    withdraw(k)
    s = until(lambda: request(nodes[2], k["key"]) not in (0, 200),
              "a refusal of the node cut off")
    cut()
    until(lambda: ask(nodes[2], "GET", "/readyz")[0] == 200, "its return")
    return 1000 * s


# ---- the log is down --------------------------------------------------------


class Load:
    """Short requests at a constant rate, whatever becomes of them."""

    def __init__(self):
        self.sent = self.ran = 0
        self.bad = {}
        self.lock = threading.Lock()
        self.on = True
        self.pool = concurrent.futures.ThreadPoolExecutor(64)
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def one(self, i):
        status = request(nodes[i % len(nodes)], team_key)
        with self.lock:
            self.sent += 1
            self.ran += status == 200
            if status != 200:
                self.bad[status] = self.bad.get(status, 0) + 1

    def run(self):
        i = 0
        due = time.monotonic()
        while self.on:
            self.pool.submit(self.one, i)
            i += 1
            due += 1 / REQUESTS_PER_S
            time.sleep(max(0, due - time.monotonic()))

    def stop(self):
        self.on = False
        self.thread.join()
        self.pool.shutdown()


def submit(addr, tasks, run_ms, request_id):
    return ask(addr, "POST", "/v1/jobs", team_key, json.dumps({
        "kind": "batch", "tasks": tasks, "run_ms": run_ms,
        "payload": "run_ms=%d" % run_ms, "restartable": True,
        "request_id": request_id,
        "res": {"cpu_milli": 1000, "mem_mb": 64, "accel": 0}}), timeout=5)


def starts_between(a, b):
    """Starts that workers saw between two times, a second."""
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
        fail("the platform took no order")


def span(load, seconds):
    """Requests asked for and run, and the time, over so many seconds."""
    began = time.time()
    sent, ran = load.sent, load.ran
    time.sleep(seconds)
    return load.sent - sent, load.ran - ran, (began, time.time())


def outage():
    # Work for the whole time at full use of the workers, over all shards.
    # Run times differ, else tasks start in waves and a wave more or less at
    # the edge of a span passes for a loss of several per cent.  They are of
    # one power of two, within which the queue goes by age: were the short
    # ones first, starts a second would fall by themselves.
    for i in range(48):
        status, text = submit(nodes[i % len(nodes)],
                              int(24 * 16 * (outage_s + 35) / 48 * 2),
                              1030 + i * 97 % 260,
                              "outage-%d" % i)
        if status != 202:
            fail("submission: %d %s" % (status, text))
    load = Load()
    time.sleep(16)  # shards go back to a restarted node after ten seconds
    sent0, ran0, span0 = span(load, 8)
    platform_ctl(outage=True)
    load.bad.clear()
    sent1, ran1, span1 = span(load, outage_s)
    refused = submit(nodes[0], 1, 1, "refused")[0]
    platform_ctl(outage=False)
    back = time.monotonic()
    i = 0
    while submit(nodes[i % len(nodes)], 1, 1, "back-%d" % i)[0] != 202:
        i += 1
        if time.monotonic() - back > DEADLINE_S:
            fail("no submission is taken after the outage")
        time.sleep(0.02)
    recover = time.monotonic() - back
    load.stop()
    requests = 100 * (ran1 / sent1) / (ran0 / sent0)
    starts0, starts1 = starts_between(*span0), starts_between(*span1)
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
    if load.bad:
        print("failover: requests not served, by status: %s" % load.bad,
              file=sys.stderr)


# ---- an owner is killed -----------------------------------------------------


def shards():
    status, v = call(nodes[0], "GET", "/v1/shards")
    return v if status == 200 else None


def placed(addr, i, wave):
    """Submits one job until it is taken and has started; gives its shard."""
    end = time.monotonic() + DEADLINE_S
    while time.monotonic() < end:
        status, text = submit(addr, 1, 50, "kill-%d-%d" % (wave, i))
        if status == 202:
            v = json.loads(text)
            if v["state"] in ("active", "done"):
                return int(v["job"][1:].split("-")[0]), time.monotonic()
        time.sleep(0.02)
    return None, 0


def owners():
    """Shard -> name of its owner, as each node tells for itself."""
    of = {}
    for addr, name in zip(nodes, names):
        status, v = call(addr, "GET", "/v1/status")
        if status == 200:
            of.update({s: name for s in v["shards_owned"]})
    return of


def takeover(wave):
    """Kills the node with the most shards; jobs are sent, with many ids so
    that each shard gets some, until all have started."""
    until(lambda: len(owners()) == 4, "an owner for each shard")
    of = owners()
    victim = max(names, key=lambda n: sum(o == n for o in of.values()))
    lost = {s for s, o in of.items() if o == victim}
    at = names.index(victim)
    left = [a for a in nodes if a != nodes[at]]
    with open(os.path.join(cell_dir, victim + ".pid")) as f:
        pid = int(f.read())
    os.kill(pid, signal.SIGKILL)
    killed = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        got = list(pool.map(lambda i: placed(left[i % 2], i, wave),
                            range(32)))
    if None in [s for s, _ in got]:
        fail("a job never started after the kill")
    if not lost <= {s for s, _ in got}:
        fail("no job went to a shard of the killed node")
    took = max(t for s, t in got if s in lost) - killed
    # The same name starts anew.
    with open(os.path.join(cell_dir, victim + ".err"), "a") as err:
        p = subprocess.Popen(
            [os.path.join(bin_dir, "orioleglade"), "--settings",
             os.path.join(cell_dir, victim + ".json")],
            stdout=subprocess.DEVNULL, stderr=err)
    with open(os.path.join(cell_dir, victim + ".pid"), "w") as f:
        f.write("%d\n" % p.pid)
    until(lambda: ask(nodes[at], "GET", "/readyz")[0] == 200, "a restart")
    return took


def many(name, unit, form, fn):
    took = [fn(i) for i in range(runs)]
    print("%s %s %s" % (name, form % statistics.median(took), unit))
    print("%s_most %s %s" % (name, form % max(took), unit), flush=True)


many("config_in_force_ms", "ms", "%.0f", lambda i: config_in_force())
many("key_withdrawn_ms", "ms", "%.0f", lambda i: key_withdrawn())
many("key_withdrawn_cutoff_ms", "ms", "%.0f",
     lambda i: key_withdrawn_cutoff())
many("takeover_s", "s", "%.2f", takeover)
outage()
