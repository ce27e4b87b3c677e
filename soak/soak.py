"""Soak test with faults: runs real node processes and checks invariants.

    soak/soak.py BUILD --seed N [--seconds S] [--nodes N] [--workers N]
        [--large] [--keep DIR]
        [--shape small|hima|crb [--rate R] [--hot X] [--calm]]

Nodes reach the store and the workers through loopback proxies that delay, drop
or reset traffic, drop it in one direction or refuse connections.  Cuts part some
nodes and workers from the others and from the store, or workers that have just
restarted under their ids from all nodes.  Node processes get SIGKILL, SIGSTOP,
SIGCONT, SIGTERM and SIGHUP and are restarted.  The store refuses requests, is
slow, loses answers and executes writes late.  Workers crash, restart, fail all
tasks and answer late; their clocks are up to 2% slow.  troubles.py has more.
Callers reuse their connections while the node runs.
At the end all faults are removed, but for workers that are lost for good.  14 s
later no accepted job may starve (starve.py), and each has to end.  The exit
status is 0 if there was no violation.

--shape plays a cell of a deployment's size instead (shapes.py, sites.py): no job
may starve (starve.py), and each has to end or run 60 s after the traffic.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile

import cuts
import net
import shapes
import sites
import starve
import troubles
import world as w

API_KEY = "key-one"
SETTLE_TIMEOUT_S = 60
CALLS_TIMEOUT_S = 30
LONG_SHARE = 0.15  # of jobs with tasks that outlast a lease
LONG_MIN_MS, LONG_MAX_MS = 6000, 14000
ZONES = ["za", "zb"]  # of the workers, alternating


def make_server(handle):
    async def serve(reader, writer):
        try:
            while (m := await w.read_message(reader)) is not None:
                (method, path, _), headers, body = m
                out = await handle(method, path, headers, body)
                if out is None:  # leave the request without an answer
                    await asyncio.sleep(20)
                    break
                writer.write(out)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass

    return serve


class Node:
    def __init__(self, soak, index):
        self.soak, self.index = soak, index
        self.ip = f"127.0.{1 + soak.subnet}.{10 + index}"
        self.proc = None
        self.addr = f"{self.ip}:{soak.port + 8}"  # that its peers are told
        self.starting = asyncio.Lock()
        self.frozen = False  # not to be continued by remove_faults
        self.stopping = False  # gets no new connections
        self.direct = False  # connections go without proxies
        self.store = net.StoreProxy(
            soak.net, ("127.0.0.1", soak.port), self.addr
        )
        self.peer = net.PeerProxy(
            soak.net, (self.ip, soak.port + 3), self.addr
        )
        self.advice = net.Proxy(soak.net, ("127.0.0.1", soak.port + 5))

    def settings(self):
        site = self.soak.site
        base = self.common_settings()
        return site.settings(self, base) if site else base

    def common_settings(self):
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
            "advertised_addr": self.addr,
            "limits": {"cpu_shares": 1, "cores": 1, "link_mbps": 1000},
            "platform": {"address": f"{self.ip}:{s.port + 4}"},
            "advice": f"{self.ip}:{s.port + 5}",
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
        """Faults may end at the same time; one process is started."""
        async with self.starting:
            if not self.running():
                await self.start_process()

    async def start_process(self):
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
        log.close()
        if not self.direct:
            self.peer.set_mode("pass")
            asyncio.ensure_future(self.watch(self.proc))

    async def watch(self, proc):
        """Refuses connections in place of a process that has ended, as its host
        does unless it is cut off."""
        await proc.wait()
        while self.soak.net.cut:
            await asyncio.sleep(net.STALL_POLL_S)
        if self.proc is proc:
            self.peer.set_mode("refuse")

    def running(self):
        return self.proc is not None and self.proc.returncode is None

    def signal(self, number):
        if self.running():
            if number != signal.SIGCONT:  # sent to all, whether stopped or not
                self.soak.platform.note(f"{number.name} {self.addr}")
            self.proc.send_signal(number)


class Soak:
    def __init__(self, a):
        self.seed, self.rand = a.seed, random.Random(a.seed)
        self.zone_rand = random.Random(a.seed + 1)
        self.series_rand = random.Random(a.seed + 2)
        self.long_rand = random.Random(a.seed + 6)
        self.build, self.dir = a.build, a.keep or tempfile.mkdtemp()
        os.makedirs(self.dir, exist_ok=True)
        self.subnet = a.seed % 200
        self.port = 21000 + (a.seed % 50) * 20
        self.net = net.Net()
        self.cuts = cuts.Cuts(self, random.Random(a.seed + 3))
        self.platform = w.Platform(self.rand, self.net)
        self.troubles = troubles.Troubles(self, random.Random(a.seed + 7))
        self.nodes = [Node(self, i) for i in range(a.nodes)]
        self.proxies, self.silenceable = [], []
        self.nworkers, self.seconds = a.workers, a.seconds
        self.last_job = 0
        self.calls = set()
        self.connections = {}
        self.site = None  # the cell of a shape, which has its own world

    async def listen(self):
        host, store = "127.0.0.1", self.platform.store
        listen = self.net.streams.listen
        await listen(make_server(store.handle), host, self.port)
        await listen(make_server(self.platform.advise), host, self.port + 5)
        for i in range(self.nworkers):
            ip = f"127.0.{1 + self.subnet}.{100 + i}"
            worker = w.Worker(
                self.platform, f"w{i}", f"{ip}:{self.port + 6}", ZONES[i % 2]
            )
            if i < troubles.SMALL_WORKERS:
                worker.extra_labels = [troubles.SMALL_LABEL]
            await listen(make_server(worker.handle), ip, self.port + 7)
            proxy = net.Proxy(
                self.net, (ip, self.port + 7), w.WORKER_CONNECTIONS_MAX
            )
            await proxy.start(ip, self.port + 6)
            self.platform.workers.append(worker)
            self.proxies.append(proxy)
        for n in self.nodes:
            await n.store.start(n.ip, self.port + 4)
            await n.peer.start(n.ip, self.port + 8)
            await n.advice.start(n.ip, self.port + 5)
        self.silenceable = [self.proxies] + [
            [getattr(n, to) for n in self.nodes]
            for to in ("store", "advice", "peer")
        ]

    # ---- callers ------------------------------------------------------

    async def call(self, node, method, path, body=b""):
        """Returns (status, body); status 0 if no whole answer came in time."""
        status, _, out = await self.exchange(node, method, path, body, API_KEY)
        return status, out

    async def exchange(self, node, method, path, body, key):
        """Returns (status, headers, body) of a call, as call does."""
        connections = self.connections.setdefault(node.index, [])
        reader, writer = connections.pop() if connections else (None, None)
        try:
            if writer is None:
                reader, writer = await asyncio.wait_for(
                    self.net.streams.connect(node.ip, self.port + 1), 1
                )
            writer.write(
                (
                    f"{method} {path} HTTP/1.1\r\nHost: q.example\r\n"
                    f"Authorization: Bearer {key}\r\n"
                    "X-Deadline-Ms: 3000\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                ).encode()
                + body
            )
            m = await asyncio.wait_for(w.read_message(reader), 3.5)
            if m is None:
                self.net.streams.close_writer(writer)
                return 0, None, None
            connections.append((reader, writer))
            return int(m[0][1]), m[1], m[2]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            if writer:
                self.net.streams.close_writer(writer)
            return 0, None, None

    async def submit(self):
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
        if self.long_rand.random() < LONG_SHARE:
            steps[0]["estimate_ms"] = self.long_rand.randint(
                LONG_MIN_MS, LONG_MAX_MS
            )
        job = await self.hand_in(steps, self.rand)
        if job.accepted and self.rand.random() < 0.1:
            node = self.rand.choice(self.nodes)
            cut, job.cancel_sent = self.net.cut, True
            status, _ = await self.call(node, "DELETE", f"/q/{job.id}")
            if status == 200:
                job.cancelled_at = w.now()
            elif status == 410 and not (cut and cut.parts_store(node.addr)):
                self.platform.report_violation("LOST", job.id)

    async def hand_in(self, steps, rand):
        self.last_job += 1
        job = w.Job(f"{self.last_job:016x}", steps)
        self.platform.jobs[job.id] = job
        body = json.dumps({"spec": "s", "steps": job.steps}).encode()
        for _ in range(4):
            node = rand.choice(self.nodes)
            job.submissions += 1
            status, _ = await self.call(node, "POST", f"/q/{job.id}", body)
            if status == 200:
                job.accepted = True
                break
            if status in (400, 401, 404, 429, 503):
                job.rejections += 1
            await asyncio.sleep(0.3)
        return job

    async def submit_jobs(self, until):
        while w.now() < until:
            t = asyncio.ensure_future(self.submit())
            self.calls.add(t)
            t.add_done_callback(self.calls.discard)
            await asyncio.sleep(self.rand.uniform(0.02, 0.15))

    # ---- faults -------------------------------------------------------

    async def inject_fault(self):
        r = self.rand
        node, i = r.choice(self.nodes), r.randrange(self.nworkers)
        worker, kind = self.platform.workers[i], r.randrange(9)
        self.platform.note_fault(f"fault {kind} of n{node.index} or w{i}")
        if kind == 0:
            node.signal(signal.SIGKILL)
        elif kind == 1:
            node.signal(signal.SIGSTOP)
        elif kind == 2:
            node.signal(signal.SIGTERM)
        elif kind == 3:
            node.signal(signal.SIGHUP)
        elif kind == 4:
            node.store.set_mode(
                r.choice(["silent", "reset", "oneway", "delay"])
            )
        elif kind == 5:
            self.platform.store.mode = r.choice(["busy", "losing", "late", "slow"])
        elif kind == 6:
            self.proxies[i].set_mode(
                r.choice(["silent", "reset", "refuse", "oneway", "delay"])
            )
        elif kind == 7:
            worker.mode = r.choice(["failing", "late"])
        else:
            worker.mode = "crashed"
            worker.crash()

    async def remove_faults(self, everything):
        if everything:
            await self.troubles.end()
            await self.cuts.end()
        if everything or self.rand.random() < 0.4:
            self.platform.store.mode = "normal"
        for n in self.nodes:
            if everything or self.rand.random() < 0.4:
                n.store.set_mode("pass")
                if not n.frozen:
                    n.signal(signal.SIGCONT)
                await n.start()
        for i, worker in enumerate(self.platform.workers):
            if everything or self.rand.random() < 0.4:
                self.proxies[i].set_mode("pass")
                if worker.mode == "crashed":
                    worker.new_incarnation()
                worker.mode = "normal"

    async def evacuate_zones(self):
        """Has its own random generator, so other faults are as without it."""
        r = self.zone_rand
        if r.random() < 0.2:
            await self.platform.evacuate(r.choice(ZONES), r.random() < 0.6)

    async def store_slow_then_refusing(self):
        r, store = self.series_rand, self.platform.store
        store.mode = "slow"
        await asyncio.sleep(r.uniform(0.4, 1))
        store.mode = "busy"
        await asyncio.sleep(r.uniform(0.5, 1.5))
        store.mode = "normal"
        await asyncio.sleep(r.uniform(0.2, 2))
        r.choice(self.nodes).signal(signal.SIGKILL)

    async def workers_refuse_connections(self):
        r = self.series_rand
        proxies = r.sample(self.proxies, min(2, len(self.proxies)))
        for p in proxies:
            p.set_mode("refuse")
        if r.random() < 0.5:
            r.choice(self.nodes).signal(signal.SIGKILL)
        await asyncio.sleep(r.uniform(1, 4))
        for p in proxies:
            p.set_mode("pass")

    async def inject_series(self):
        """Faults that follow each other as random ones rarely do."""
        if self.series_rand.random() > 0.25:
            return
        self.platform.last_fault = w.now()
        if self.series_rand.random() < 0.5:
            await self.store_slow_then_refusing()
        else:
            await self.workers_refuse_connections()
        self.platform.last_fault = w.now()

    async def inject_faults(self, until):
        while w.now() < until:
            await asyncio.sleep(self.rand.uniform(0.2, 1.2))
            self.cuts.maybe_begin()
            await self.inject_series()
            await self.evacuate_zones()
            for _ in range(self.rand.randint(0, 2)):
                await self.inject_fault()
            if self.rand.random() < 0.5:
                await self.remove_faults(False)

    # ---- end of the soak ----------------------------------------------

    async def ask_state(self, job):
        """The state as callers see it, or None."""
        node = self.rand.choice(self.nodes)
        status, body = await self.call(node, "GET", f"/q/{job.id}")
        return json.loads(body)["state"] if status == 200 else None

    async def unfinished_jobs(self):
        unfinished = []
        for job in self.platform.jobs.values():
            if not job.accepted or job.state:
                continue
            node = self.rand.choice(self.nodes)
            status, body = await self.call(node, "GET", f"/q/{job.id}")
            if status == 410:
                self.platform.report_violation("LOST", job.id)
                job.state = "lost"
            elif status == 200:
                state = json.loads(body)["state"]
                if state in ("completed", "failed", "cancelled"):
                    self.check_end_state(job, state)
            if not job.state:
                unfinished.append(job.id)
        return unfinished

    def check_end_state(self, job, state):
        job.state = state
        done = all(
            job.task(s, i).done
            for s, step in enumerate(job.steps)
            for i in range(step["count"])
        )
        if state == "completed" and not done:
            self.platform.report_violation("MIXED", job.id)
        if state == "cancelled" and job.cancelled_at is None:
            pass  # a cancel that got no answer may have been executed

    async def settle(self):
        await self.remove_faults(True)
        if self.platform.evacuated:
            self.platform.last_fault = w.now()
            await asyncio.sleep(w.EVACUATION_BOUND_S + 0.5)
        for zone in ZONES:
            await self.platform.evacuate(zone, False)
        watch = asyncio.ensure_future(
            starve.Finish(self.platform, self.ask_state).watch()
        )
        end, unfinished = w.now() + SETTLE_TIMEOUT_S, ["?"]
        while unfinished and w.now() < end:
            await asyncio.sleep(0.5)
            await self.remove_faults(True)
            unfinished = await self.unfinished_jobs()
        if watch.done():
            watch.result()  # an error of the check ends the soak
        watch.cancel()
        for job_id in unfinished:
            self.platform.report_violation("OPEN", job_id)

    async def check_ports_free(self):
        """Nodes left by a soak with the same seed would take our calls."""
        for n in self.nodes:
            try:
                _, writer = await self.net.streams.connect(
                    n.ip, self.port + 1
                )
            except OSError:
                continue
            self.net.streams.close_writer(writer)
            sys.exit(f"{n.ip}:{self.port + 1} is in use by another soak?")

    async def begin(self):
        await self.check_ports_free()
        if self.site:
            await self.site.listen()
            await self.site.configure()
        else:
            await self.listen()
            await self.platform.configure([API_KEY])
        asyncio.ensure_future(self.platform.list_workers())
        for n in self.nodes:
            await n.start()

    async def play(self):
        await asyncio.sleep(1.5)
        until = w.now() + self.seconds
        await asyncio.gather(
            self.submit_jobs(until),
            self.inject_faults(until),
            self.troubles.inject(until),
        )
        # Calls end by their own timeouts.  One that does not is printed with
        # its line numbers and cancelled.
        if self.calls:
            _, stuck = await asyncio.wait(
                set(self.calls), timeout=CALLS_TIMEOUT_S
            )
            for t in stuck:
                print("stuck:", [f.f_lineno for f in t.get_stack()])
                t.cancel()
        await self.settle()

    async def run(self, play):
        try:
            await self.begin()
            await play()
        finally:
            for n in self.nodes:
                n.signal(signal.SIGKILL)
                if n.proc:
                    await n.proc.wait()
            if self.site:
                self.site.stop()
            resets = sum(e.resets for es in self.silenceable for e in es)
            self.platform.note(f"{resets} connections were too many")
            await self.net.streams.close_all()
            with open(f"{self.dir}/notes.txt", "w") as f:
                f.writelines(line + "\n" for line in self.platform.notes)


def run_soak(soak, play):
    """Returns the exit status."""
    # Node processes must not outlive a soak that is terminated.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    try:
        asyncio.run(soak.run(play))
    finally:
        for n in soak.nodes:
            if n.running():
                try:
                    n.proc.kill()
                except ProcessLookupError:
                    pass
    jobs = soak.platform.jobs.values()
    for b in soak.platform.violations:
        print(b)
    print(
        f"seed {soak.seed}: {len(jobs)} jobs, "
        f"{sum(j.accepted for j in jobs)} accepted, "
        f"{len(soak.platform.violations)} breaches, logs in {soak.dir}"
    )
    return (
        1
        if soak.platform.violations or not any(j.accepted for j in jobs)
        else 0
    )


def options(**defaults):
    p = argparse.ArgumentParser()
    p.add_argument("build")
    p.add_argument("--seed", type=int, default=1)
    p.add_argument("--seconds", type=float, default=20)
    p.add_argument("--nodes", type=int, default=4)
    p.add_argument("--workers", type=int, default=8)
    p.add_argument("--keep")
    p.set_defaults(**defaults)
    return p


def main():
    p = options()
    p.add_argument(
        "--large", action="store_true", help="40 nodes and 60 workers"
    )
    p.add_argument(
        "--shape", choices=["small", *shapes.SHAPES], default="small"
    )
    p.add_argument(
        "--rate", type=float, default=1, help="part of the shape's traffic"
    )
    p.add_argument(
        "--hot",
        type=float,
        default=1,
        help="how many times its share the last team of a shape sends",
    )
    p.add_argument("--calm", action="store_true", help="no faults in a shape")
    a = p.parse_args()
    if a.large:
        a.nodes, a.workers = 40, 60
    if a.shape != "small":
        a.nodes = sum(shapes.SHAPES[a.shape].nodes)
    soak = Soak(a)
    if a.shape == "small":
        soak.platform.advised = random.Random(a.seed + 5).random() < 0.5
        return run_soak(soak, soak.play)
    soak.site = sites.Site(soak, shapes.SHAPES[a.shape], a)
    return run_soak(soak, soak.site.play)


if __name__ == "__main__":
    sys.exit(main())
