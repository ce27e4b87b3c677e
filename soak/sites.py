"""A cell of a shape (shapes.py): its workers, callers, configurations and faults.

Faults come in phases, with calm phases between them, in which the check of
starve.py judges the jobs.  Nodes reach the world without proxies.
"""

import asyncio
import json
import random
import resource
import signal

import advice
import gangs
import serve
import starve
import world as w

FILES_MAX = 16384
READY_S = 4  # from the start of the nodes to the traffic
ROLL_INTERVAL_S, ROLL_TERM_S = 8, 6
ROLL_NODES_MAX = 8
FAULTS_S, CALM_S = (6, 14), (12, 20)
CONFIG_INTERVAL_S = (3, 9)
IDLE_QUEUES_MAX = 8
ATTEMPTS, RETRY_S = 4, 0.3
RETRY_MAX_S = 6
CANCELLED_SHARE = 0.03
LASTING_JOBS = 3
CALLS_AT_ONCE_MAX = 1500
LAG_POLL_S = 0.05
LAG_MAX_S = 0.2
SETTLE_S = 60
PRIVATE = ("run_ms", "fails", "bad")  # fields of steps that are not declared


class Site:
    def __init__(self, soak, shape, a):
        self.soak, self.shape = soak, shape
        self.rate, self.hot, self.always_calm = a.rate, a.hot, a.calm
        self.platform = p = soak.platform
        self.rand = random.Random(soak.seed + 10)
        self.fault_rand = random.Random(soak.seed + 11)
        self.config_rand = random.Random(soak.seed + 12)
        p.rand = random.Random(soak.seed + 13)
        self.advice = advice.Advice(p, soak.seed)
        self.check = starve.Check(p, self.advice)
        self.check.ask_state = self.ask_state
        p.gangs, p.workers_by_id = {}, {}
        p.gang_timeout_s = shape.bounds["gang_timeout_ms"] / 1000
        p.teams = self.make_teams()
        self.make_workers()
        self.servers = []
        self.store_ip = f"127.0.{1 + soak.subnet}.1"
        self.idle_queues, self.last_idle = [], 0
        self.boosts = {}  # team or queue -> factor of its traffic
        self.calls = 0
        self.lag_max = self.lag_sum = self.lag_count = 0
        self.place_nodes()

    # ---- the world ---------------------------------------------------------

    def make_teams(self):
        s = self.shape
        return [
            starve.Team(
                f"team{i}",
                f"key-{i}",
                max(1, 1.5 * share * s.per_s() * self.rate),
                round(
                    max(share * s.limit * s.cores() * self.rate, 30) * 1000
                ),
            )
            for i, share in enumerate(s.team_shares())
        ]

    def make_workers(self):
        s, p, subnet = self.shape, self.platform, 1 + self.soak.subnet
        for i in range(s.workers):
            zone = i * len(s.zones) // s.workers
            x = gangs.Worker(
                p,
                f"w{i}",
                f"127.{subnet}.{1 + i // 200}.{1 + i % 200}",
                self.soak.port + 6,
                s.zones[zone],
                f"r{zone + 1}-{i // s.rack}",
                (1, 1, 1.3)[i % 3],
            )
            p.workers.append(x)
            p.workers_by_id[x.id] = x

    def place_nodes(self):
        s = self.shape
        zones = [z for z, n in zip(s.zones, s.nodes) for _ in range(n)]
        for n, zone in zip(self.soak.nodes, zones):
            n.direct = True
            n.zone = zone
            n.addr = f"{n.ip}:{self.soak.port + 3}"

    def settings(self, node, base):
        p = self.soak.port
        strengths = self.shape.strengths
        share, mbps = strengths[node.index % len(strengths)]
        zones = {z: "r" for z in self.shape.zones}
        return base | {
            "zone": node.zone,
            "region": "r",
            "zones": zones,
            "advertised_addr": node.addr,
            "limits": {"cpu_shares": share, "cores": 1, "link_mbps": mbps},
            "platform": {"address": f"{self.store_ip}:{p}"},
            "advice": f"{node.ip}:{p + 5}",
            "bounds": self.shape.bounds,
        }

    def serve_advice(self, node):
        async def handle(method, path, headers, body):
            return await self.advice.answer(node.addr, body)

        return serve.Server(handle, node.ip, self.soak.port + 5)

    async def listen(self):
        resource.setrlimit(
            resource.RLIMIT_NOFILE,
            (FILES_MAX, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),
        )
        store = self.platform.store.handle
        self.servers = [serve.Server(store, self.store_ip, self.soak.port)]
        self.servers += [self.serve_advice(n) for n in self.soak.nodes]
        self.servers += [x.server for x in self.platform.workers]
        for server in self.servers:
            await server.start()
        store, *others = self.servers
        nodes = len(self.soak.nodes)
        self.soak.silenceable = [[store], others[:nodes], others[nodes:]]

    def stop(self):
        for server in self.servers:
            server.stop()

    # ---- configuration -----------------------------------------------------

    async def configure(self):
        p = self.platform
        p.version += 1
        config = {
            "version": p.version,
            "routes": [q.route() for q in self.shape.queues]
            + [self.idle_route(name) for name in self.idle_queues],
            "services": [{"name": "svc", "rejects_overload": False}],
            "tenants": [
                {
                    "name": t.name,
                    "api_keys": [t.key],
                    "weight": t.rate,
                    "maximum": {"cpu": t.max_cpu},
                }
                for t in p.teams
            ],
        }
        p.note(f"configuration {p.version}, idle: {self.idle_queues}")
        await p.store.topic("keyed.op").put(
            [("config", json.dumps(config).encode())]
        )

    def idle_route(self, name):
        return self.shape.queues[0].route() | {
            "name": f"r-{name}",
            "path_prefix": f"/{name}/",
        }

    async def change_configuration(self, until):
        """Adds and removes queues without jobs, and asks each node for the
        counts of a queue that was just removed."""
        r = self.config_rand
        while w.now() < until:
            await asyncio.sleep(r.uniform(*CONFIG_INTERVAL_S))
            removed = None
            if len(self.idle_queues) >= IDLE_QUEUES_MAX or r.random() < 0.4:
                if self.idle_queues:
                    removed = self.idle_queues.pop(
                        r.randrange(len(self.idle_queues))
                    )
            else:
                self.last_idle += 1
                self.idle_queues.append(f"idle{self.last_idle}")
            await self.configure()
            if removed:
                await asyncio.gather(
                    *(
                        self.soak.call(n, "GET", f"/{removed}/")
                        for n in self.soak.nodes
                        if n.running()
                    )
                )

    # ---- callers -----------------------------------------------------------

    def node(self):
        up = [n for n in self.soak.nodes if n.running() and not n.stopping]
        return self.rand.choice(up or self.soak.nodes)

    def fit(self, job):
        """Narrows steps that could not run on the workers that are admitted, or
        that need near half of the team's limit."""
        for s, step in enumerate(job.steps):
            if not step.get("gang"):
                continue
            slots = sum(
                starve.slots(w.WORKER_CPU, w.WORKER_MEM_MB, step)
                for _ in self.advice.admission(job, s).workers
            )
            by_limit = int(0.4 * job.team.max_cpu / step["cpu"])
            step["count"] = max(1, min(step["count"], slots // 3, by_limit))

    def new_job(self, queue, team):
        soak = self.soak
        soak.last_job += 1
        job = starve.Job(
            f"{soak.last_job:016x}", queue.job_steps(self.rand), queue, team
        )
        self.platform.jobs[job.id] = job
        self.fit(job)
        return job

    def lasting_job(self, team):
        job = self.new_job(self.shape.queues[-1], team)
        job.steps[:] = [
            {
                "count": 3,
                "cpu": 1500,
                "mem_mb": 2000,
                "estimate_ms": 20000,
                "run_ms": self.rand.randint(8000, 30000),
                "long_running": True,
            }
        ]
        return job

    def body(self, job):
        steps = [
            {k: v for k, v in step.items() if v and k not in PRIVATE}
            for step in job.steps
        ]
        return json.dumps({"spec": "s", "steps": steps}).encode()

    async def submit(self, job):
        body, path = self.body(job), job.queue.prefix() + job.id
        for _ in range(ATTEMPTS):
            job.submissions += 1
            status, headers, _ = await self.soak.exchange(
                self.node(), "POST", path, body, job.team.key
            )
            if status == 200:
                job.accepted, job.accepted_at = True, w.now()
                self.check.jobs.append(job)
                break
            if status in (400, 401, 404, 429, 503):
                job.rejections += 1
            wait = float((headers or {}).get("retry-after", RETRY_S))
            await asyncio.sleep(min(max(wait, RETRY_S), RETRY_MAX_S))
        if job.accepted and self.rand.random() < CANCELLED_SHARE:
            await asyncio.sleep(self.rand.uniform(0, 3))
            await self.cancel(job)

    async def ask_state(self, job):
        """Sets the job's state once it is over.  Returns what was answered."""
        status, _, body = await self.soak.exchange(
            self.node(),
            "GET",
            job.queue.prefix() + job.id,
            b"",
            job.team.key,
        )
        if status == 410:
            job.state = "lost"
            self.platform.report_violation("LOST", job.id)
        if status != 200:
            return None
        state = json.loads(body)["state"]
        if state in ("completed", "failed", "cancelled"):
            job.state = state
        return state

    async def cancel(self, job):
        job.cancel_sent_at = w.now()
        status, _, _ = await self.soak.exchange(
            self.node(),
            "DELETE",
            job.queue.prefix() + job.id,
            b"",
            job.team.key,
        )
        if status == 200:
            job.cancelled_at = w.now()

    async def send(self, queue, until):
        """Jobs of one queue, of all teams by their shares."""
        r, teams = self.rand, self.platform.teams
        shares = self.shape.team_shares()
        shares[-1] *= self.hot
        at = w.now()
        while at < until:
            parts = [
                s * self.boosts.get(t, 1) for s, t in zip(shares, teams)
            ]
            per_s = queue.per_s * self.rate * sum(parts)
            per_s *= self.boosts.get(queue.name, 1)
            at += r.expovariate(per_s)
            await asyncio.sleep(max(0, at - w.now()))
            if len(self.soak.calls) > CALLS_AT_ONCE_MAX:
                continue
            (team,) = r.choices(teams, parts)
            t = asyncio.ensure_future(self.submit(self.new_job(queue, team)))
            self.soak.calls.add(t)
            t.add_done_callback(self.soak.calls.discard)

    async def boost(self, until):
        """One team or one queue sends more than usual.  This is no fault."""
        r = random.Random(self.soak.seed + 14)
        while w.now() < until:
            await asyncio.sleep(r.uniform(2, 10))
            if r.random() < 0.5:
                what, by = r.choice(self.platform.teams), r.uniform(2, 5)
            else:
                what = r.choice(self.shape.queues).name
                by = r.uniform(1.5, 2.5)
            self.platform.note(f"boost {getattr(what, 'name', what)} {by:.1f}")
            self.boosts[what] = by
            await asyncio.sleep(r.uniform(4, 9))
            del self.boosts[what]

    # ---- faults ------------------------------------------------------------

    async def roll(self):
        r = self.fault_rand
        nodes = self.soak.nodes[:]
        r.shuffle(nodes)
        for n in nodes[:ROLL_NODES_MAX]:
            begun = w.now()
            n.stopping = True
            n.signal(signal.SIGTERM)
            while n.running() and w.now() - begun < ROLL_TERM_S:
                await asyncio.sleep(0.05)
            n.signal(signal.SIGKILL)
            await self.restart(n)
            await asyncio.sleep(max(0, begun + ROLL_INTERVAL_S - w.now()))

    async def restart(self, n):
        if n.proc:
            await n.proc.wait()
        n.stopping = False
        await n.start()

    async def kill_nodes(self):
        r = self.fault_rand
        nodes = {n for n in self.soak.nodes if r.random() < 0.3}
        if r.random() < 0.6:
            nodes.add(self.soak.cuts.owner() or self.soak.nodes[0])
        nodes = sorted(nodes, key=lambda n: n.index)
        for n in nodes:
            n.signal(signal.SIGKILL)
        await asyncio.sleep(r.uniform(0.2, 2))
        for n in nodes:
            await self.restart(n)

    async def freeze_node(self):
        r = self.fault_rand
        n = self.soak.cuts.owner() if r.random() < 0.5 else None
        n = n or r.choice(self.soak.nodes)
        n.signal(signal.SIGSTOP)
        await asyncio.sleep(r.uniform(0.5, 6))
        n.signal(signal.SIGCONT)

    def some_workers(self, most):
        r = self.fault_rand
        n = max(1, round(r.uniform(0, most) * self.shape.workers))
        return r.sample(self.platform.workers, n)

    async def crash_workers(self):
        """They start again with their ids, some before their entries end."""
        r = self.fault_rand
        workers = self.some_workers(0.1)
        self.note_workers("crash", workers)
        for x in workers:
            x.stop_process(r.random() < 0.3)
        await asyncio.sleep(r.uniform(0.3, 7))
        for x in workers:
            await x.start_process()

    async def set_modes(self, mode, most):
        workers = [x for x in self.some_workers(most) if x.mode == "normal"]
        self.note_workers(mode, workers)
        for x in workers:
            x.mode = mode
        await asyncio.sleep(self.fault_rand.uniform(3, 7))
        for x in workers:
            if x.mode == mode:
                x.mode = "normal"

    async def fail_runs(self):
        await self.set_modes("failing", 0.15)

    async def answer_late(self):
        await self.set_modes("late", 0.06)

    async def disturb_store(self):
        r, store = self.fault_rand, self.platform.store
        store.mode = r.choice(["busy", "losing", "late", "slow"])
        await asyncio.sleep(r.uniform(0.5, 4))
        store.mode = "normal"

    def note_workers(self, what, workers):
        self.platform.note(f"{what}: {' '.join(x.id for x in workers)}")

    async def play_fault(self, fault, rand):
        await asyncio.sleep(rand.uniform(0, 5))
        self.check.begin_fault(fault.__name__)
        try:
            await fault()
        finally:
            self.check.end_fault(fault.__name__)

    async def play_faults(self, until):
        kinds = [
            self.roll,
            self.kill_nodes,
            self.freeze_node,
            self.crash_workers,
            self.fail_runs,
            self.answer_late,
            self.disturb_store,
        ]
        more = self.soak.troubles
        series = [more.freeze_owners, more.silence_connections]
        r = self.fault_rand
        while w.now() < until:
            await asyncio.sleep(r.uniform(*CALM_S))
            if self.always_calm or w.now() > until:
                continue
            chosen = r.sample(kinds, r.randint(1, 3))
            begun = more.rand.sample(series, more.rand.randint(0, 2))
            await asyncio.gather(
                *(self.play_fault(f, r) for f in chosen),
                *(self.play_fault(f, more.rand) for f in begun),
            )

    # ---- the soak ----------------------------------------------------------

    async def poll(self):
        while True:
            before = w.now()
            await asyncio.sleep(LAG_POLL_S)
            lag = w.now() - before - LAG_POLL_S
            self.lag_max = max(self.lag_max, lag)
            self.lag_sum += lag
            self.lag_count += 1
            if lag > LAG_MAX_S:  # the store was slow for all nodes
                self.check.last_fault = w.now()
                self.platform.note(f"the world was late by {lag:.2f} s")
            if self.lag_count % round(starve.POLL_S / LAG_POLL_S) == 0:
                self.check.poll()

    def open_jobs(self):
        return [j for j in self.check.jobs if not self.check.dropped(j)]

    async def settle(self):
        lasting = [
            j for j in self.open_jobs() if j.steps[0].get("long_running")
        ]
        for job in lasting:
            await self.cancel(job)
        end = w.now() + SETTLE_S
        while self.open_jobs() and w.now() < end:
            await asyncio.sleep(0.3)
        for job in self.open_jobs():
            # Long steps that failed before take longer.
            if job.active or w.now() - job.changed_at < starve.STARVED_S:
                continue
            if await self.ask_state(job) in ("queued", "running", None):
                self.platform.report_violation("OPEN", job.id)

    async def play(self):
        await asyncio.sleep(READY_S)
        poll = asyncio.ensure_future(self.poll())
        teams = self.platform.teams
        for i in range(LASTING_JOBS):
            await self.submit(self.lasting_job(teams[i % len(teams)]))
        until = w.now() + self.soak.seconds
        await asyncio.gather(
            self.play_faults(until),
            self.change_configuration(until),
            self.boost(until),
            *(self.send(q, until) for q in self.shape.queues),
        )
        for _ in range(round(RETRY_MAX_S * ATTEMPTS)):
            if self.soak.calls:
                await asyncio.sleep(1)
        self.platform.note("end of the traffic")
        await self.settle()
        if poll.done():
            poll.result()  # an error of the check ends the soak
        poll.cancel()
        self.report()

    def report(self):
        jobs = self.platform.jobs.values()
        runs = sum(x.last_end for x in self.platform.workers)
        print(
            f"{len(jobs) / self.soak.seconds:.1f} jobs/s, {runs} ends, "
            f"lag {1000 * self.lag_sum / max(1, self.lag_count):.1f} ms, "
            f"most {1000 * self.lag_max:.0f} ms, "
            f"{self.advice.refused} questions refused, "
            f"{len(self.check.found)} starved or with room for one task"
        )
