"""Simulated platform for the soak test: store, workers and advice over HTTP.

It runs in one process and one event loop.  The nodes under test are real
processes that connect to it over loopback.  Invariants are checked here on what
workers observe; violations are collected in Platform.violations.
"""

import asyncio
import base64
import copy
import json
import random
import struct
import time

from net import ADDRESS, Net

CLAIMS_TOPIC = "keyed.claims"
WORKER_CPU = 16000
WORKER_MEM_MB = 65536
LEASE_MAX_MS = 10000
CLOCK_START_MAX_MS = 10000000
LATE_SHARE = 0.3  # of the calls to a worker that carries them out late
LATE_MIN_S, LATE_MAX_S = 2, 8  # from such a call to its execution
DOWN_POLL_S = 0.02
HEARTBEAT_S = 1.5
SILENCE_S = 3 * HEARTBEAT_S  # of a worker, until its entry is removed
EPOCH_SHIFT = 20  # of fencing tokens that count restarts of the worker as well
WORKER_CONNECTIONS_MAX = 64
TASK_STOP_S = 0.2
STARTUP_MS = 300  # of a task that lasts
TICKET_VALID_MS = 2500
SLOW_STORE_S = 0.25  # time of an append to a slow store
EVACUATION_BOUND_S = 5  # from an evacuation's record to the last start there
FAULT_SETTLE_S = 4  # after a fault, until that bound holds again


def now():
    return time.monotonic()


def owner_epoch(token):
    """The epoch of the owner that sent the fencing token."""
    return token >> EPOCH_SHIFT or token


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        h = (await reader.readline()).decode().strip()
        if not h:
            break
        name, _, value = h.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode().split(), headers, body


def answer(status, body, kind="application/json"):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return (
        f"HTTP/1.1 {status} x\r\nContent-Type: {kind}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Stream:
    def __init__(self):
        self.records = []  # (key, value or None)
        self.epoch = 0
        self.seq = None
        self.results = {}
        self.readers = set()  # futures of the reads that wait for a record

    async def put(self, pairs):
        first = len(self.records)
        self.records += pairs
        for appended in self.readers:
            if not appended.done():
                appended.set_result(None)
        return first

    async def wait(self, start, seconds):
        """Waits until there is a record at start, or for the given time.

        Uses asyncio.wait because wait_for loses a cancellation that coincides
        with its timeout; such a reader never ends, and the soak hangs.
        """
        if len(self.records) > start:
            return
        appended = asyncio.get_running_loop().create_future()
        self.readers.add(appended)
        try:
            await asyncio.wait([appended], timeout=seconds)
        finally:
            self.readers.discard(appended)

    def newest(self):
        last = {}
        for i, (k, v) in enumerate(self.records):
            last[k] = (i, v)
        return {k: iv for k, iv in sorted(last.items()) if iv[1]}


class Store:
    """Topics of keyed records with fenced, numbered, conditional appends."""

    def __init__(self, rand):
        self.rand = rand
        self.topics = {}
        self.owners = {}  # epoch -> address of the node that claimed it
        self.mode = "normal"  # or busy, losing, late, slow

    def topic(self, name):
        return self.topics.setdefault(name, Stream())

    async def apply(self, q, body):
        t = self.topic(q["topic"])
        pairs, at = [], 0
        while at < len(body):
            (n,) = struct.unpack_from(">I", body, at)
            raw = body[at + 4 : at + 4 + n]
            at += 4 + n
            k = raw[1 : 1 + raw[0]].decode()
            pairs.append((k, raw[1 + raw[0] :] or None))
        epoch, seq = int(q.get("epoch", 0)), int(q.get("seq", 0))
        fenced = "producer" in q
        if fenced and epoch < t.epoch:
            return 409, {"reason": "fenced"}
        if "at" in q and int(q["at"]) != len(t.records):
            return 412, {"end_offset": len(t.records)}
        if fenced and epoch > t.epoch:
            t.epoch, t.seq, t.results = epoch, None, {}
        if fenced and pairs:
            if seq in t.results:
                return 200, t.results[seq]
            if t.seq is not None and seq != t.seq + 1:
                return 409, {"reason": "seq", "seq": t.seq + 1}
            t.seq = seq
        first = await t.put(pairs)
        if q["topic"] == CLAIMS_TOPIC:
            self.owners[first + 1] = ADDRESS.search(pairs[0][1]).group().decode()
        out = {"offset": first, "end_offset": len(t.records)}
        if fenced and pairs:
            t.results[seq] = out
            for old in sorted(t.results)[:-5]:
                del t.results[old]
        return 200, out

    async def append(self, q, body):
        if self.mode == "busy":
            return answer(503, {})
        if self.mode == "slow":
            await asyncio.sleep(SLOW_STORE_S)
        if self.mode in ("losing", "late") and self.rand.random() < 0.4:
            if self.mode == "late":
                asyncio.get_running_loop().call_later(
                    self.rand.uniform(1, 5),
                    lambda: asyncio.ensure_future(self.apply(q, body)),
                )
            else:
                await self.apply(q, body)
            return None
        status, out = await self.apply(q, body)
        return answer(status, out)

    async def read(self, q):
        if self.mode == "busy":
            return answer(503, {})
        t, start = self.topic(q["topic"]), int(q["from"])
        await t.wait(start, int(q.get("wait_ms", 0)) / 1000 + 0.001)
        out = struct.pack(">QQ", len(t.records), 0)
        for k, v in t.records[start:]:
            raw = bytes([len(k)]) + k.encode() + (v or b"")
            out += struct.pack(">I", len(raw)) + raw
        return answer(200, out, "application/octet-stream")

    async def handle(self, method, path, headers, body):
        path, _, query = path.partition("?")
        q = dict(p.split("=", 1) for p in query.split("&") if p)
        if path.endswith("log-append"):
            return await self.append(q, body)
        if path.endswith("log-read"):
            return await self.read(q)
        if self.mode == "busy":
            return answer(503, {})
        t = self.topic(q["topic"])
        items = [
            {"key": k, "offset": i, "value": base64.b64encode(v).decode()}
            for k, (i, v) in t.newest().items()
            if k > q.get("after", "")
        ]
        return answer(
            200,
            {
                "items": items[:500],
                "has_more": len(items) > 500,
                "end_offset": len(t.records),
            },
        )


class Task:
    def __init__(self):
        self.running = []  # the runs
        self.last_end = None  # text about the last run that ended as done
        self.done = False  # a run has ended as done
        self.done_recorded = False  # and the owner has recorded that end
        self.failed = 0  # failed runs whose ends the owner has recorded
        self.listed = 0  # ends that workers list and the owner has not recorded
        self.idle_since = now()  # end of the last run


class Job:
    def __init__(self, job_id, steps):
        self.id, self.steps = job_id, steps
        self.submissions = self.rejections = 0
        self.accepted = False
        self.cancel_sent, self.cancelled_at = False, None
        self.state = None
        self.tasks = {}

    def task(self, step, index):
        return self.tasks.setdefault((step, index), Task())

    def is_done(self, step, index):
        return self.task(step, index).done_recorded

    def is_over_budget(self, step, index, attempts_max):
        return self.task(step, index).failed >= attempts_max

    def step_done(self, step):
        n = self.steps[step]["count"]
        return all(self.is_done(step, i) for i in range(n))

    def ready_steps(self):
        """Numbers of the steps that are not done and whose turn has come."""
        return [
            s
            for s, step in enumerate(self.steps)
            if not self.step_done(s)
            and all(self.step_done(b) for b in step.get("after", []))
        ]


class Run:
    def __init__(self, worker, step, body):
        self.worker, self.step, self.body = worker, step, body
        self.name, self.number = body["task"], body["run_id"]
        self.began = self.works_since = now()
        self.timer = None

    def percent(self):
        """A task that lasts is at work when it shows 100."""
        if self.works_since is None:  # a member of a gang that waits
            return 0
        elapsed_ms = (now() - self.works_since) * 1000
        if self.step.get("long_running"):
            return 100 if elapsed_ms > STARTUP_MS else 0
        run_ms = self.step.get("run_ms", self.step["estimate_ms"])
        return min(99, int(100 * elapsed_ms / run_ms))

    def __str__(self):
        p, epoch = self.worker.platform, owner_epoch(self.body["fencing_token"])
        return (
            f"run {self.number} on {self.worker.id} since "
            f"{self.began - p.started_at:.2f} s, ordered in epoch {epoch} "
            f"by {p.store.owners.get(epoch)}"
        )


class Worker:
    def __init__(self, platform, worker_id, addr, zone="z"):
        self.platform, self.id, self.addr = platform, worker_id, addr
        self.zone, self.extra_labels = zone, []
        self.mode = "normal"  # or failing, late, crashed
        self.late_share = LATE_SHARE
        self.ignores_orders = False  # answers holds, but no starts and stops
        self.keeps_starts = False  # for its next incarnation
        self.kept_starts = []
        self.silent = False  # answers nothing
        self.heartbeats = True  # while it is silent
        self.clock_rate = 1 - len(platform.workers) % 3 * 0.01
        self.silent_since, self.listed_entry = 0, None
        self.new_incarnation()

    def new_incarnation(self):
        r = self.platform.worker_rand
        self.born = time.time_ns() // 1000000
        self.started_at = now()
        self.clock_start = r.randint(0, CLOCK_START_MAX_MS)
        self.fence = self.lease_until = self.last_end = 0
        self.entry_at = now() + r.uniform(0, HEARTBEAT_S)
        self.entry_written = False
        self.runs, self.ended, self.highest_run = {}, [], {}
        self.end_event = asyncio.Event()

    def clock(self):
        elapsed_ms = (now() - self.started_at) * 1000
        return self.clock_start + int(elapsed_ms * self.clock_rate)

    def end_run(self, run, how):
        if self.runs.pop((run.name, run.number), None) is None:
            return
        run.timer.cancel()
        job_id, _, step, index = run.name.split(".")
        t = self.platform.jobs[job_id].task(int(step), int(index))
        t.running.remove(run)
        if how == "done":
            t.done = True
            t.last_end = f"{run}, ended {self.platform.elapsed():.2f} s"
        self.last_end += 1
        self.ended.append([self.last_end, run.name, run.number, how, ""])
        self.highest_run[run.name] = max(
            self.highest_run.get(run.name, 0), run.number
        )
        self.end_event.set()

    def crash(self):
        for run in list(self.runs.values()):
            run.timer.cancel()
            job_id, _, step, index = run.name.split(".")
            t = self.platform.jobs[job_id].task(int(step), int(index))
            t.running.remove(run)
        self.silent_since = now()
        self.new_incarnation()

    def expire_lease(self):
        if self.runs and self.clock() > self.lease_until:
            for run in list(self.runs.values()):
                self.end_run(run, "lapsed")

    def check_start(self, job, step, index, run):
        t, report = job.task(step, index), self.platform.report_violation
        name = run.name
        used = sum(r.step["cpu"] for r in self.runs.values())
        if used + job.steps[step]["cpu"] > WORKER_CPU:
            report("LIMIT", name)
        if t.running:
            report("TWICE", f"{name}: {run}; {t.running[0]}")
        if job.is_done(step, index):
            report("AGAIN", f"{name}: {run}; {t.last_end}")
        if job.is_over_budget(step, index, self.platform.attempts_max):
            report("BUDGET", name)
        for before in job.steps[step].get("after", []):
            if not all(
                job.task(before, i).done
                for i in range(job.steps[before]["count"])
            ):
                report("ORDER", name)
        # Bounds of time do not hold for starts that a worker leaves for later.
        ignored = run.body.get("ignored")
        if job.cancelled_at and now() - job.cancelled_at > 3 and not ignored:
            report("CANCELLED", name)
        if job.submissions == job.rejections:
            report("REFUSED", name)
        since = self.platform.evacuated.get(self.zone)
        if since and now() - since > EVACUATION_BOUND_S and self.settled(run):
            if self.mode != "late" and not ignored:
                report("EVAC", name)

    def settled(self, run):
        """Whether the node that ordered the run can know of an evacuation."""
        p = self.platform
        owner = p.store.owners.get(owner_epoch(run.body["fencing_token"]))
        if p.net.cut and p.net.cut.parts_store(owner):
            return False
        return now() - p.last_fault > FAULT_SETTLE_S

    def start_run(self, b):
        job_id, _, step, index = b["task"].split(".")
        job = self.platform.jobs.get(job_id)
        if job is None:
            self.platform.report_violation("UNASKED", b["task"])
            return
        step, index = int(step), int(index)
        run = Run(self, job.steps[step], b)
        self.check_start(job, step, index, run)
        job.task(step, index).running.append(run)
        self.runs[(run.name, run.number)] = run
        self.begin_work(job, run)

    def begin_work(self, job, run):
        bad = self.mode == "failing" or run.step.get("bad")
        run.timer = asyncio.get_running_loop().call_later(
            run.step["estimate_ms"] / 1000 / (2 if bad else 1),
            self.end_run,
            run,
            "failed" if bad else "done",
        )

    def fenced(self, b):
        if b["fencing_token"] < self.fence:
            return True
        self.fence = b["fencing_token"]
        return False

    def renew_lease(self, b):
        if "until_ms" in b:
            limit = self.clock() + LEASE_MAX_MS
            self.lease_until = max(self.lease_until, min(b["until_ms"], limit))

    def run_start(self, b):
        if self.fenced(b):
            return 409, "fence"
        if (b["task"], b["run_id"]) in self.runs:
            return 200, None
        if b["run_id"] <= self.highest_run.get(b["task"], 0):
            return 409, "old"
        if b["until_ms"] <= self.clock():
            return 409, "late"
        job_id, k, step, _ = b["task"].split(".")
        key = (f"{job_id}.{k}.{step}", self.id, self.born)
        if self.platform.advised and self.platform.tickets.get(key, 0) < now():
            return 409, "ticket"
        self.renew_lease(b)
        self.start_run(b)
        return 200, None

    def run_stop(self, b):
        if self.fenced(b):
            return 409, "fence"
        run = self.runs.get((b["task"], b["run_id"]))
        if run is None:
            self.highest_run[b["task"]] = max(
                self.highest_run.get(b["task"], 0), b["run_id"]
            )
        else:
            asyncio.get_running_loop().call_later(
                TASK_STOP_S, self.end_run, run, "stopped"
            )
        return 200, None

    def record_ends(self, seen):
        while self.ended and self.ended[0][0] <= seen:
            _, name, _, how, _ = self.ended.pop(0)
            job_id, _, step, index = name.split(".")
            t = self.platform.jobs[job_id].task(int(step), int(index))
            t.done_recorded = t.done_recorded or how == "done"
            t.failed += how == "failed"

    def hold(self, b):
        if self.fenced(b):
            return 409, "fence"
        self.record_ends(b["last_seen"])
        self.renew_lease(b)
        return 200, None

    async def wait_for_end(self, seconds):
        self.end_event.clear()
        wait = asyncio.ensure_future(self.end_event.wait())
        try:
            await asyncio.wait([wait], timeout=seconds)
        finally:
            wait.cancel()

    def cut_from(self, epoch):
        """Whether a cut parts the worker from the owner of the epoch.  Calls of
        all nodes come from one address, so their epoch tells the sender."""
        cut, owners = self.platform.net.cut, self.platform.store.owners
        return cut and cut.parts_worker(owners.get(epoch), self.id)

    async def handle(self, method, path, headers, body):
        """A call to a worker that is down reaches its next incarnation.  An
        answer that is ready after the start of a cut is lost, too."""
        end = now() + LATE_MAX_S
        epoch = owner_epoch(json.loads(body)["fencing_token"])
        if self.cut_from(epoch):
            return None
        while self.mode == "crashed":
            if now() > end:
                return None
            await asyncio.sleep(DOWN_POLL_S)
        if self.cut_from(epoch):
            return None
        out = await self.answer_call(path, headers, body)
        return None if self.cut_from(epoch) else out

    def carry_out_late(self, act, b, end):
        """An incarnation can't tell the calls that were meant for a former one
        of the same id."""
        if self.mode != "crashed":
            act(b)
        elif now() < end:
            asyncio.get_running_loop().call_later(
                DOWN_POLL_S, self.carry_out_late, act, b, end
            )

    async def answer_call(self, path, headers, body):
        if self.silent:
            return None
        if headers.get("x-expected-instance") != self.id:
            return answer(421, {})
        b, born, r = json.loads(body), self.born, self.platform.worker_rand
        act = self.run_start if path.endswith("start") else self.run_stop
        if path.endswith("hold"):
            act = self.hold
        lost = self.ignores_orders and act != self.hold
        if act == self.run_start and self.keeps_starts:
            self.kept_starts.append(b)
            return None
        if (lost or self.mode == "late") and r.random() < self.late_share:
            b["ignored"] = lost
            asyncio.get_running_loop().call_later(
                r.uniform(LATE_MIN_S, LATE_MAX_S),
                self.carry_out_late,
                act,
                b,
                now() + LATE_MAX_S,
            )
            return None
        if lost:
            return None
        status, why = act(b)
        if status == 200 and not self.ended and b.get("wait_ms"):
            await self.wait_for_end(b["wait_ms"] / 1000)
        if self.born != born or self.mode == "crashed" or self.silent:
            return None
        out = {"clock_ms": self.clock(), "born": self.born}
        if why:
            out["reason"] = why
        if path.endswith("hold"):
            out["running"] = [
                [r.name, r.number, "", r.percent(), 0]
                for r in self.runs.values()
            ]
            out["ended"] = self.ended[:500]
        return answer(status, out)

    def all_labels(self):
        return ["a", "r1-1", *self.extra_labels]

    def carry_out_kept_starts(self):
        kept, self.kept_starts = self.kept_starts, []
        for b in kept:
            b["ignored"] = True
            status, why = self.run_start(b)
            self.platform.note(
                f"{self.id} of {self.born}: late start of {b['task']} "
                f"run {b['run_id']}: {status} {why or ''}"
            )

    def usable(self):
        """Whether it is listed and carries out what it is told."""
        if self.mode == "crashed" or self.silent or self.ignores_orders:
            return False
        return self.listed_entry and self.zone not in self.platform.evacuated

    def entry(self):
        """What the list has: the entry of a silent worker stays for some
        heartbeats, and that of a new incarnation may come after its first
        answer."""
        if self.mode == "crashed" or not self.heartbeats:
            if now() - self.silent_since > SILENCE_S:
                self.listed_entry = None
        elif not self.entry_written and (
            self.listed_entry is None or now() >= self.entry_at
        ):
            self.listed_entry = self.entry_text()
            self.entry_written = True
        return self.listed_entry

    def entry_text(self):
        return json.dumps(
            {
                "service": "svc",
                "address": self.addr,
                "zone": self.zone,
                "state": "ready",
                "born": self.born,
                "capacity": {
                    "cpu": WORKER_CPU,
                    "mem_mb": WORKER_MEM_MB,
                    "gpus": 0,
                },
                "labels": self.all_labels(),
            }
        ).encode()


class Platform:
    attempts_max = 3
    advised = True  # whether starts carry tickets

    def __init__(self, rand, net=None):
        """The cases under review/ pass no network: theirs has no cuts."""
        self.rand, self.net = rand, net or Net()
        # Draws nothing from rand, on which the order of faults depends.
        self.worker_rand = random.Random(copy.copy(rand).random())
        self.store = Store(rand)
        self.jobs, self.workers, self.tickets = {}, [], {}
        self.violations, self.notes = [], []
        self.prints_notes = False
        self.version = 0
        self.evacuated = {}  # zone -> time of its evacuation
        self.last_fault = now()  # of a node, its connections or the store
        self.started_at = now()

    def elapsed(self):
        return now() - self.started_at

    def note(self, text):
        """For reading the logs of the nodes, whose times are those of the wall
        clock."""
        self.notes.append(f"{time.time():.3f} {self.elapsed():.2f} s {text}")
        if self.prints_notes:
            print(self.notes[-1])

    def note_fault(self, text):
        self.last_fault = now()
        self.note(text)

    def report_violation(self, what, about):
        self.note(f"{what} {about}")
        self.violations.append(f"{self.elapsed():.2f} s {what} {about}")

    async def configure(self, keys):
        self.version += 1
        route = {
            "name": "r",
            "host": "q.example",
            "path_prefix": "/q/",
            "service": "svc",
            "priority": 0,
            "max_attempts": self.attempts_max,
            "slack_factor": 2,
            "target_latency_ms": 500,
        }
        if self.advised:
            route["advice"] = {
                "decide_ms": 3,
                "period_ms": 0.1,
                "valid_ms": TICKET_VALID_MS,
            }
        config = {
            "version": self.version,
            "routes": [route],
            "services": [{"name": "svc"}],
            "tenants": [{"name": "t", "api_keys": keys, "weight": 1000}],
        }
        await self.store.topic("keyed.op").put(
            [("config", json.dumps(config).encode())]
        )

    async def evacuate(self, zone, on):
        if on:
            self.evacuated.setdefault(zone, now())
        else:
            self.evacuated.pop(zone, None)
        await self.store.topic("keyed.op").put(
            [(f"evacuate/{zone}", b"{}" if on else None)]
        )

    async def list_workers(self):
        """Publishes changed entries of workers and expires their leases."""
        last = {}
        while True:
            for w in self.workers:
                w.expire_lease()
                e = w.entry()
                if last.get(w.id) != e and self.store.mode != "busy":
                    last[w.id] = e
                    await self.store.topic("keyed.servers").put([(w.id, e)])
            await asyncio.sleep(0.1)

    async def advise(self, method, path, headers, body):
        b = json.loads(body)
        await asyncio.sleep(0.003)
        allowed = []
        for w in self.workers:
            if w.id in b["workers"]:
                self.tickets[(b["step"], w.id, w.born)] = now() + 2.4
                allowed.append([w.id, "x"])
        return answer(200, {"good": allowed, "valid_ms": TICKET_VALID_MS})
