"""Fault soak: real nodes as processes, faults from outside, promises checked.

    soak/soak.py BUILD --seed N [--seconds S] [--nodes N] [--workers N] [--keep DIR]

Nodes reach the store and the workers through loopback proxies that delay,
silence, reset and cut one way; nodes are killed, stopped, continued, asked to
end and started again by their process ids; the store refuses, loses answers and
does writes late; workers crash, start anew, fail all and answer late.  Callers
keep their connections until the process is gone.  At the end everything heals
and each accepted job must come to its end.  Exit status 0 when all held.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile

import world as w

KEY = "key-one"
SETTLE_S = 60
CALLS_S = 30
ZONES = ["za", "zb"]  # that the workers are dealt out to


class Proxy:
    """Bytes between one address and another, by mode."""

    def __init__(self, target):
        self.target, self.mode, self.open = target, "pass", set()

    async def start(self, host, port):
        await asyncio.start_server(self.serve, host, port)

    def set(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.open):
                writer.transport.abort()

    async def pump(self, reader, writer, back):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                if self.mode == "silent" or (back and self.mode == "oneway"):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        self.open.add(writer)
        try:
            far, out = await asyncio.open_connection(*self.target)
            self.open.add(out)
            await asyncio.gather(
                self.pump(reader, out, False), self.pump(far, writer, True)
            )
            self.open.discard(out)
        except OSError:
            writer.transport.abort()
        except asyncio.CancelledError:
            return
        self.open.discard(writer)


def server_of(handle):
    async def serve(reader, writer):
        try:
            while (m := await w.read_message(reader)) is not None:
                (method, path, _), headers, body = m
                out = await handle(method, path, headers, body)
                if out is None:  # never answered: the connection is dead
                    await asyncio.sleep(20)
                    break
                writer.write(out)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            return  # the soak is over
        writer.close()

    return serve


class Node:
    def __init__(self, soak, index):
        self.soak, self.index = soak, index
        self.ip = f"127.0.{1 + soak.net}.{10 + index}"
        self.proc = None
        self.stopped = False
        self.store = Proxy(("127.0.0.1", soak.port))

    def settings(self):
        s = self.soak
        return {
            "node_name": f"n{self.index}",
            "ip": self.ip,
            "zone": "z",
            "listen_addrs": {
                "frontend": f"{self.ip}:{s.port + 1}",
                "ready": f"{self.ip}:{s.port + 2}",
            },
            "internal_ports": [s.port + 3, s.port + 9],
            "limits": {"cpu_shares": 1, "cores": 1, "link_mbps": 1000},
            "platform": {"address": f"{self.ip}:{s.port + 4}"},
            "advice": f"127.0.0.1:{s.port + 5}",
            "bounds": {
                "max_hold_ms": w.LEASE_MAX_MS,
                "stop_ms": 900,
                "revoke_ms": 5000,
                "status_s": 120,
                "visible_ms": 3000,
                "gang_timeout_ms": 3000,
                "grace_s": 6,
            },
        }

    async def start(self):
        if self.proc and self.proc.returncode is None:
            return
        path = f"{self.soak.dir}/n{self.index}.json"
        with open(path, "w") as f:
            json.dump(self.settings(), f)
        log = open(f"{self.soak.dir}/n{self.index}.log", "ab")
        self.proc = await asyncio.create_subprocess_exec(
            f"{self.soak.build}/orioleglade-cell",
            "--settings",
            path,
            stdout=log,
            stderr=log,
        )
        self.stopped = False

    def signal(self, number):
        if self.proc and self.proc.returncode is None:
            self.proc.send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.stopped = number == signal.SIGSTOP


class Soak:
    def __init__(self, a):
        self.rand = random.Random(a.seed)
        self.zone_rand = random.Random(a.seed + 1)
        self.build, self.dir = a.build, a.keep or tempfile.mkdtemp()
        self.net = a.seed % 200
        self.port = 21000 + (a.seed % 50) * 20
        self.world = w.World(self.rand)
        self.nodes = [Node(self, i) for i in range(a.nodes)]
        self.proxies = []
        self.nworkers, self.seconds = a.workers, a.seconds
        self.last = 0
        self.calls = set()
        self.links = {}

    async def listen(self):
        host, store = "127.0.0.1", self.world.store
        await asyncio.start_server(server_of(store.handle), host, self.port)
        await asyncio.start_server(
            server_of(self.world.advise), host, self.port + 5
        )
        for i in range(self.nworkers):
            ip = f"127.0.{1 + self.net}.{100 + i}"
            worker = w.Worker(
                self.world, f"w{i}", f"{ip}:{self.port + 6}", ZONES[i % 2]
            )
            await asyncio.start_server(
                server_of(worker.handle), ip, self.port + 7
            )
            proxy = Proxy((ip, self.port + 7))
            await proxy.start(ip, self.port + 6)
            self.world.workers.append(worker)
            self.proxies.append(proxy)
        for n in self.nodes:
            await n.store.start(n.ip, self.port + 4)

    # ---- callers ------------------------------------------------------

    async def call(self, node, method, path, body=b""):
        """Status and body; 0 when no whole answer came in time."""
        link = self.links.setdefault(node.index, [])
        reader, writer = link.pop() if link else (None, None)
        try:
            if writer is None:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(node.ip, self.port + 1), 1
                )
            writer.write(
                (
                    f"{method} {path} HTTP/1.1\r\nHost: q.example\r\n"
                    f"Authorization: Bearer {KEY}\r\nX-Deadline-Ms: 3000\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                ).encode()
                + body
            )
            m = await asyncio.wait_for(w.read_message(reader), 3.5)
            if m is None:
                return 0, None
            link.append((reader, writer))
            return int(m[0][1]), m[2]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            if writer:
                writer.close()
            return 0, None

    async def submit(self):
        self.last += 1
        steps = [
            {
                "count": self.rand.randint(1, 4),
                "cpu": self.rand.randint(500, 4000),
                "mem_mb": 100,
                "estimate_ms": self.rand.randint(50, 1500),
                "bad": self.rand.random() < 0.05,
            }
            for _ in range(self.rand.randint(1, 2))
        ]
        if len(steps) == 2:
            steps[1]["after"] = [0]
        job = w.Job(f"{self.last:016x}", steps)
        self.world.jobs[job.id] = job
        body = json.dumps({"spec": "s", "steps": steps}).encode()
        for _ in range(4):
            node = self.rand.choice(self.nodes)
            job.handed_in += 1
            status, _ = await self.call(node, "POST", f"/q/{job.id}", body)
            if status == 200:
                job.accepted = True
                break
            if status in (400, 401, 404, 429, 503):
                job.rejected += 1
            await asyncio.sleep(0.3)
        if job.accepted and self.rand.random() < 0.1:
            node = self.rand.choice(self.nodes)
            status, _ = await self.call(node, "DELETE", f"/q/{job.id}")
            if status == 200:
                job.cancelled_at = w.now()
            elif status == 410:
                self.world.breach("LOST", job.id)

    async def load(self, until):
        while w.now() < until:
            t = asyncio.ensure_future(self.submit())
            self.calls.add(t)
            t.add_done_callback(self.calls.discard)
            await asyncio.sleep(self.rand.uniform(0.02, 0.15))

    # ---- faults -------------------------------------------------------

    async def strike(self):
        r = self.rand
        node, i = r.choice(self.nodes), r.randrange(self.nworkers)
        worker, kind = self.world.workers[i], r.randrange(9)
        self.world.troubled = w.now()
        if kind == 0:
            node.signal(signal.SIGKILL)
        elif kind == 1:
            node.signal(signal.SIGSTOP)
        elif kind == 2:
            node.signal(signal.SIGTERM)
        elif kind == 3:
            node.signal(signal.SIGHUP)
        elif kind == 4:
            node.store.set(r.choice(["silent", "reset", "oneway", "delay"]))
        elif kind == 5:
            self.world.store.mode = r.choice(["busy", "losing", "late"])
        elif kind == 6:
            self.proxies[i].set(
                r.choice(["silent", "reset", "oneway", "delay"])
            )
        elif kind == 7:
            worker.mode = r.choice(["failing", "late"])
        else:
            worker.mode = "crashed"
            worker.crash()

    async def heal(self, everything):
        if everything or self.rand.random() < 0.4:
            self.world.store.mode = "well"
        for n in self.nodes:
            if everything or self.rand.random() < 0.4:
                n.store.set("pass")
                n.signal(signal.SIGCONT)
                await n.start()
        for i, worker in enumerate(self.world.workers):
            if everything or self.rand.random() < 0.4:
                self.proxies[i].set("pass")
                if worker.mode == "crashed":
                    worker.life()
                worker.mode = "well"

    async def move_zones(self):
        """A random source of its own: older seeds play as they did."""
        r = self.zone_rand
        if r.random() < 0.2:
            await self.world.evacuate(r.choice(ZONES), r.random() < 0.6)

    async def trouble(self, until):
        while w.now() < until:
            await asyncio.sleep(self.rand.uniform(0.2, 1.2))
            await self.move_zones()
            for _ in range(self.rand.randint(0, 2)):
                await self.strike()
            if self.rand.random() < 0.5:
                await self.heal(False)

    # ---- the end ------------------------------------------------------

    async def open_jobs(self):
        left = []
        for job in self.world.jobs.values():
            if not job.accepted or job.state:
                continue
            node = self.rand.choice(self.nodes)
            status, body = await self.call(node, "GET", f"/q/{job.id}")
            if status == 410:
                self.world.breach("LOST", job.id)
                job.state = "lost"
            elif status == 200:
                state = json.loads(body)["state"]
                if state in ("completed", "failed", "cancelled"):
                    self.judge(job, state)
            if not job.state:
                left.append(job.id)
        return left

    def judge(self, job, state):
        job.state = state
        done = all(
            job.task(s, i).ended
            for s, step in enumerate(job.steps)
            for i in range(step["count"])
        )
        if state == "completed" and not done:
            self.world.breach("MIXED", job.id)
        if state == "cancelled" and job.cancelled_at is None:
            pass  # a cancel without an answer may have been carried out

    async def settle(self):
        await self.heal(True)
        if self.world.evacuated:
            self.world.troubled = w.now()
            await asyncio.sleep(w.EVACUATE_S + 0.5)
        for zone in ZONES:
            await self.world.evacuate(zone, False)
        end, left = w.now() + SETTLE_S, ["?"]
        while left and w.now() < end:
            await asyncio.sleep(0.5)
            await self.heal(True)
            left = await self.open_jobs()
        for ident in left:
            self.world.breach("OPEN", ident)

    async def refuse_strangers(self):
        """Nodes left by a soak of the same seed would answer for ours."""
        for n in self.nodes:
            try:
                _, writer = await asyncio.open_connection(n.ip, self.port + 1)
            except OSError:
                continue
            writer.close()
            sys.exit(f"{n.ip}:{self.port + 1} is taken: another soak?")

    async def run(self):
        await self.refuse_strangers()
        await self.listen()
        await self.world.configure([KEY])
        asyncio.ensure_future(self.world.list_workers())
        for n in self.nodes:
            await n.start()
        await asyncio.sleep(1.5)
        until = w.now() + self.seconds
        await asyncio.gather(self.load(until), self.trouble(until))
        # A call ends by its own timeouts; one that does not is told, with
        # where it stands, and the soak goes on.
        if self.calls:
            _, stuck = await asyncio.wait(set(self.calls), timeout=CALLS_S)
            for t in stuck:
                print("stuck:", [f.f_lineno for f in t.get_stack()])
                t.cancel()
        await self.settle()
        for n in self.nodes:
            n.signal(signal.SIGKILL)


def main():
    p = argparse.ArgumentParser()
    p.add_argument("build")
    p.add_argument("--seed", type=int, default=1)
    p.add_argument("--seconds", type=float, default=20)
    p.add_argument("--nodes", type=int, default=4)
    p.add_argument("--workers", type=int, default=8)
    p.add_argument("--keep")
    a = p.parse_args()
    if a.keep:
        os.makedirs(a.keep, exist_ok=True)
    soak = Soak(a)
    # Whoever ends the soak must not leave its nodes behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    try:
        asyncio.run(soak.run())
    finally:
        for n in soak.nodes:
            if n.proc and n.proc.returncode is None:
                try:
                    n.proc.kill()
                except ProcessLookupError:
                    pass
    jobs = soak.world.jobs.values()
    for b in soak.world.breaches:
        print(b)
    print(
        f"seed {a.seed}: {len(jobs)} jobs, "
        f"{sum(j.accepted for j in jobs)} accepted, "
        f"{len(soak.world.breaches)} breaches, logs in {soak.dir}"
    )
    return 1 if soak.world.breaches or not any(j.accepted for j in jobs) else 0


if __name__ == "__main__":
    sys.exit(main())
