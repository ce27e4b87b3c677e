"""A small cell for the cases of this folder: stand-ins and real node processes.

The store, the workers and the advice service come from soak/world.py, which
serves them over HTTP on loopback addresses.  This module adds what the cases
need: workers that are cut off and run on, entries in the list of workers that
are written and expire as the platform's protocol says, a store that is slow,
node processes started with the command of deploy/system.toml, and a record of
what was sent, answered and run.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "soak"))

import world as w  # noqa: E402

KEY = "key-one"
HEARTBEAT_S = 1.5
MISSED_HEARTBEATS = 3  # an entry is removed after so many intervals of silence
STORE_ANSWER_S = 0.004
APPEND_S = 0.002  # that an append takes besides
# Names that soak/world.py gives to breaches, and the rules that they break.
RULES = {"AGAIN": "TWICE", "CANCELLED": "UNASKED"}
TROUBLE = os.environ.get("TROUBLE", "1")


def node_command():
    """The program and its arguments that the deploy file names."""
    with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
        run = shlex.split(tomllib.load(f)["roles"]["node"]["run"])
    return [os.path.join(ROOT, run[0])] + run[1:]


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = w.now()
        self.broken = []

    def note(self, text):
        self.file.write(f"{w.now() - self.began:8.3f} {text}\n")
        self.file.flush()

    def broke(self, rule, text):
        self.broken.append(rule)
        self.note(f"BROKEN {rule} {text}")


async def serve(server, reader, writer):
    """Answers the requests of a connection, in order."""
    server.writers.add(writer)
    if server.silent:
        server.cut_writers.add(writer)
    try:
        while (m := await w.read_message(reader)) is not None:
            if writer in server.cut_writers:
                continue
            (method, path, _), headers, body = m
            out = await server.handle(method, path, headers, body)
            if out is None:
                await asyncio.sleep(20)
                break
            if writer in server.cut_writers:
                continue
            writer.write(out)
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError, ValueError):
        pass
    except asyncio.CancelledError:
        return
    finally:
        server.writers.discard(writer)
        server.cut_writers.discard(writer)
        writer.close()


class Server:
    """An HTTP server that can be cut off, with resets or silently."""

    def __init__(self, handle, host, port):
        self.handle, self.host, self.port = handle, host, port
        self.server, self.writers = None, set()
        self.silent = False
        self.cut_writers = set()  # connections that were silent once

    async def start(self):
        self.server = await asyncio.start_server(
            lambda r, wr: serve(self, r, wr),
            self.host,
            self.port,
            reuse_address=True,
        )

    def end(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def silence(self):
        """What is sent to the server from now on is lost."""
        self.silent = True
        self.cut_writers |= self.writers

    def unsilence(self):
        """Connections from before the cut stay silent, as bytes are missing."""
        self.silent = False


class Worker(w.Worker):
    """A worker process with an entry in the list of workers."""

    clock_rate = 1.0

    def __init__(self, cell, worker_id, host, port, labels):
        self.cell, self.labels = cell, labels
        super().__init__(cell.platform, worker_id, f"{host}:{port}", "z1")
        self.server = Server(self.handle, host, port)
        self.up = False
        self.cut_off = False
        self.seq = 0
        self.silent_since = 0

    def clock(self):
        elapsed_ms = (w.now() - self.started_at) * 1000
        return 1000 + int(elapsed_ms * self.clock_rate)

    def entry(self):
        self.seq += 1
        return json.dumps(
            {
                "service": "svc",
                "address": self.addr,
                "zone": self.zone,
                "version": "1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq": self.seq,
                "born": self.born,
                "capacity": {"cpu": w.WORKER_CPU, "mem_mb": 65536, "gpus": 0},
                "labels": self.labels,
            }
        ).encode()

    async def publish(self):
        await self.cell.workers_topic.put([(self.id, self.entry())])

    async def start(self):
        """The entry is in the store before the process answers any call."""
        self.new_incarnation()
        self.seq = 0
        await self.publish()
        await self.server.start()
        self.up = True
        self.cell.record.note(
            f"worker {self.id} started born={self.born} labels={self.labels}"
        )

    def cut(self, silent=False):
        """The worker runs on; it gets no call, and none is answered.

        silent: connections hang, otherwise they are reset.
        """
        how = "silently" if silent else "with resets"
        self.cell.record.note(f"worker {self.id} cut off {how}")
        self.cut_off = True
        self.silent_since = w.now()
        if silent:
            self.server.silence()
        else:
            self.server.end()

    async def heal(self):
        if self.server.silent:
            self.server.unsilence()
        else:
            await self.server.start()
        self.cut_off = False
        self.cell.record.note(f"worker {self.id} reachable again")

    async def heartbeat(self):
        """Writes the entry; removes it when the worker was silent for long."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.up and not self.cut_off:
                await self.publish()
            elif w.now() - self.silent_since > MISSED_HEARTBEATS * HEARTBEAT_S:
                await self.cell.workers_topic.put([(self.id, None)])

    async def lapse(self):
        while True:
            await asyncio.sleep(0.02)
            self.expire_lease()

    def run_start(self, b):
        """Without tickets, as the queue of these cases has no advice."""
        if self.fenced(b):
            return 409, "fence"
        if (b["task"], b["run_id"]) in self.runs:
            return 200, None
        if b["run_id"] <= self.highest_run.get(b["task"], 0):
            return 409, "old"
        if b["until_ms"] <= self.clock():
            return 409, "late"
        self.renew_lease(b)
        self.start_run(b)
        return 200, None

    def start_run(self, b):
        before = len(self.platform.violations)
        super().start_run(b)
        self.cell.record.note(
            f"run {b['task']} run_id={b['run_id']} on {self.id}"
            f" token={b['fencing_token']} began"
        )
        for v in self.platform.violations[before:]:
            what = v.split()[2]
            self.cell.record.broke(RULES.get(what, what), f"{b['task']} {what}")

    def end_run(self, run, how):
        known = (run.name, run.number) in self.runs
        super().end_run(run, how)
        if known:
            self.cell.record.note(
                f"run {run.name} run_id={run.number} on {self.id} {how}"
            )


class Cell:
    """Store, advice, workers and nodes on loopback addresses."""

    def __init__(self, record, nodes):
        self.record = Record(record)
        self.rand = random.Random(1)
        self.net = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}"
        self.port = self.free_port()
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.platform = w.Platform(self.rand)
        self.workers_topic = self.platform.store.topic("keyed.servers")
        self.nnodes, self.procs, self.logs = nodes, [], []
        self.tasks = []
        self.last_job = 0
        self.store_slowness = 1

    def free_port(self):
        """The first of eleven ports that are free."""
        while True:
            base = self.rand.randrange(20000, 30000)
            base += os.getpid() % 1000
            socks = []
            try:
                for i in range(11):
                    s = socket.socket()
                    socks.append(s)
                    s.bind((f"{self.net}.1", base + i))
                return base
            except OSError:
                continue
            finally:
                for s in socks:
                    s.close()

    async def store(self, method, path, headers, body):
        """A slow store is slow to carry calls out and to answer them."""
        answer_s = STORE_ANSWER_S
        if "/api/log-append" in path:
            answer_s += APPEND_S
        answer_s *= self.store_slowness
        await asyncio.sleep(answer_s / 2)
        out = await self.platform.store.handle(method, path, headers, body)
        await asyncio.sleep(answer_s / 2)
        return out

    def node_ip(self, i):
        return f"{self.net}.{10 + i}"

    def settings(self, i):
        ip, p = self.node_ip(i), self.port
        return {
            "node_name": f"edge-z1-{i + 1}",
            "role": "node",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": "z1",
            "region": "r",
            "zones": {"z1": "r"},
            "listen_addrs": {
                "frontend": f"{ip}:{p + 1}",
                "ready": f"{ip}:{p + 2}",
            },
            "internal_ports": [p + 3, p + 9],
            "bootstrap": True,
            "limits": {
                "cpu_shares": 1,
                "cores": 1,
                "memory_mb": 260,
                "max_fds": 4200,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "bounds": {
                "contact_ms": 3000,
                "drain_ms": 2000,
                "grace_s": 6,
                "config_apply_ms": 2000,
                "revoke_ms": 5000,
                "max_hold_ms": w.LEASE_MAX_MS,
                "stop_ms": 900,
                "gang_timeout_ms": 3000,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "status_s": 120,
                "cross_rack_factor": 2,
                "notice_ms": 4500,
                "harm_ms": 4000,
            },
            "orders": "rpc",
            "advice": f"{self.net}.1:{p + 5}",
            "platform": {"address": f"{self.net}.1:{p}", "form": "log"},
        }

    async def start_node(self, i):
        path = os.path.join(self.dir, f"node{i}.json")
        with open(path, "w") as f:
            json.dump(self.settings(i), f)
        command = node_command()
        command[command.index("--settings") + 1] = path
        log = open(os.path.join(self.dir, f"node{i}.log"), "ab")
        self.logs.append(log)
        proc = await asyncio.create_subprocess_exec(
            *command, stdout=log, stderr=log, cwd=ROOT
        )
        self.record.note(f"node {i} started pid={proc.pid}")
        return proc

    async def start(self):
        await Server(self.store, f"{self.net}.1", self.port).start()
        await Server(
            self.platform.advise, f"{self.net}.1", self.port + 5
        ).start()
        await self.configure()
        for worker in self.platform.workers:
            await worker.start()
            self.tasks += [
                asyncio.ensure_future(worker.heartbeat()),
                asyncio.ensure_future(worker.lapse()),
            ]
        for i in range(self.nnodes):
            self.procs.append(await self.start_node(i))
        await self.wait_ready()

    async def configure(self):
        """A queue without an advice service."""
        config = {
            "version": 1,
            "routes": [
                {
                    "name": "q",
                    "host": "q.example",
                    "path_prefix": "/q/",
                    "service": "svc",
                    "priority": 1,
                    "max_attempts": 3,
                    "slack_factor": 4,
                    "target_latency_ms": 3000,
                }
            ],
            "services": [{"name": "svc", "rejects_overload": False}],
            "tenants": [{"name": "t", "api_keys": [KEY], "weight": 1000}],
        }
        await self.platform.store.topic("keyed.op").put(
            [("config", json.dumps(config).encode())]
        )

    async def wait_ready(self):
        for _ in range(200):
            states = [await self.ready(i) for i in range(self.nnodes)]
            if all(states):
                self.record.note("all nodes are ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes do not become ready")

    async def ready(self, i):
        status, _ = await self.http(
            (self.node_ip(i), self.port + 2), "GET", "/api/readyz"
        )
        return status == 200

    async def http(self, addr, method, path, body=b"", timeout_s=3.5):
        """Returns (status, body); status 0 if no whole answer came in time."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*addr), 1
            )
            writer.write(
                (
                    f"{method} {path} HTTP/1.1\r\nHost: q.example\r\n"
                    f"Authorization: Bearer {KEY}\r\n"
                    "Content-Type: application/json\r\n"
                    "X-Deadline-Ms: 3000\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                ).encode()
                + body
            )
            m = await asyncio.wait_for(w.read_message(reader), timeout_s)
            return (0, None) if m is None else (int(m[0][1]), m[2])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0, None
        finally:
            if writer is not None:
                writer.close()

    async def call(self, method, path, body=b"", node=None):
        i = self.rand.randrange(self.nnodes) if node is None else node
        status, out = await self.http(
            (self.node_ip(i), self.port + 1), method, path, body
        )
        self.record.note(f"{method} {path} at node {i}: {status} {out}")
        return status, out

    async def submit(self, steps, spec="spec"):
        """Hands a job in, with retries; returns it."""
        self.last_job += 1
        job = w.Job(f"{self.last_job:016x}", steps)
        job.spec = spec
        self.platform.jobs[job.id] = job
        body = json.dumps({"spec": spec, "steps": steps}).encode()
        for _ in range(4):
            job.submissions += 1
            status, _ = await self.call("POST", f"/q/{job.id}", body)
            if status == 200:
                job.accepted = True
                break
            if status in (429, 503):
                job.rejections += 1
            await asyncio.sleep(0.5)
        return job

    def owner(self):
        """The node that won the shard last, by the nodes' logs."""
        best = (-1, None)
        for i in range(self.nnodes):
            with open(os.path.join(self.dir, f"node{i}.log")) as f:
                for line in f:
                    if "event=ownership_won" not in line:
                        continue
                    epoch = int(line.split("epoch=")[1].split()[0])
                    best = max(best, (epoch, i))
        return best[1]

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    def end(self):
        for t in self.tasks:
            t.cancel()
        for p in self.procs:
            if p.returncode is None:
                try:
                    p.send_signal(signal.SIGCONT)
                    p.kill()
                except ProcessLookupError:
                    pass


def run_case(cell, play, rule, limit_s=100):
    """Plays a case and returns its exit status.

    Only breaks of the case's own rule count as the result.  The case can't run
    (2) if a node has ended by itself before the play is over.
    """

    async def main():
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        try:
            await cell.start()
            await asyncio.wait_for(play(), limit_s)
            return 0
        except Exception as e:  # the case could not run
            cell.record.note(f"could not run: {e!r}")
            print(f"could not run: {e!r}", file=sys.stderr)
            return 2
        finally:
            cell.end()

    status = asyncio.run(main())
    if status != 0:
        return status
    n = cell.record.broken.count(rule)
    accepted = sum(j.accepted for j in cell.platform.jobs.values())
    others = [r for r in cell.record.broken if r != rule]
    line = f"{rule} broken {n} times; {accepted} jobs accepted; others {others}"
    cell.record.note(line)
    print(line)
    if accepted == 0:
        return 2
    return 1 if n > 0 else 0
