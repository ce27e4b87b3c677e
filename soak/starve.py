"""Accepted jobs that nothing runs for, though a task may start and has room.

The check knows what callers, workers and the advice service see.  A job starves
if for STARVED_S, all of them calm like the CALM_S before, it is accepted and not
cancelled, has nothing running, a task's turn has come, the workers that the advice
admits have room for it twice over, and its team uses under half of its limit.
Each task that lasts is judged by itself, from LASTING_S after its last run.
"""

import asyncio

import world as w

FINISH_S = 14  # as the deployments have it
STARVED_S = 3
CALM_S = 4
LASTING_S = 6
POLL_S = 0.25
ROOM_FACTOR = 2
# Instead of the number of a task: there is room for all tasks of a step that
# wait; for one.  The second is noted only.
ALL, ONE = -1, -2


class Job(w.Job):
    """With what its queue and team allow."""

    def __init__(self, job_id, steps, queue, team):
        super().__init__(job_id, steps)
        self.queue, self.team = queue, team
        self.accepted_at = self.cancel_sent_at = None
        self.active = 0  # runs on workers
        self.changed_at = w.now()  # last start or end of a run
        self.starving = {}  # what starves -> since when

    def tasks_of(self, step):
        return [
            self.task(step, i) for i in range(self.steps[step]["count"])
        ]

    def is_done(self, step, index):
        """A gang is done when the end of any member is recorded."""
        if self.steps[step].get("gang"):
            return any(t.done_recorded for t in self.tasks_of(step))
        return self.task(step, index).done_recorded

    def failures(self, step, index):
        if self.steps[step].get("gang"):
            return sum(t.failed for t in self.tasks_of(step))
        return self.task(step, index).failed

    def is_over_budget(self, step, index, attempts_max):
        if self.steps[step].get("long_running"):
            return False
        return self.failures(step, index) >= self.queue.attempts_max

    def failed(self):
        return any(
            self.is_over_budget(s, i, 0)
            for s, step in enumerate(self.steps)
            for i in range(1 if step.get("gang") else step["count"])
        )

    def over(self):
        return self.failed() or all(
            self.step_done(s) for s in range(len(self.steps))
        )

    def owed(self):
        """Whether the job is accepted and no cancelling was sent."""
        return self.accepted and self.cancel_sent_at is None

    def has_listed_ends(self):
        return any(t.listed for t in self.tasks.values())


class Team:
    """Counts what is in use, with the most since the last call of reset_peak."""

    def __init__(self, name, key, rate, max_cpu):
        self.name, self.key, self.rate, self.max_cpu = name, key, rate, max_cpu
        self.used_cpu = self.used_mem = self.peak_cpu = 0

    def count(self, cpu, mem):
        self.used_cpu += cpu
        self.used_mem += mem
        self.peak_cpu = max(self.peak_cpu, self.used_cpu)

    def reset_peak(self):
        self.peak_cpu = self.used_cpu

    def under_half(self):
        return not self.max_cpu or self.peak_cpu < self.max_cpu / 2


def slots(cpu, mem_mb, step):
    """Tasks of the step that fit into the capacity of one worker."""
    n = max(0, min(cpu // step["cpu"], mem_mb // step["mem_mb"]))
    return min(n, step.get("anti_affinity") or n)


def measure_room(worker):
    """What was free at any time since the last poll."""
    worker.free_cpu = worker.free_mem = 0
    if worker.entry() is not None and worker.usable():
        worker.free_cpu = w.WORKER_CPU - worker.peak_cpu
        worker.free_mem = w.WORKER_MEM_MB - worker.peak_mem
    worker.reset_peak()


def places_on(worker, step):
    if worker.free_cpu < step["cpu"]:
        return 0
    return slots(worker.free_cpu, worker.free_mem, step)


class Finish:
    """The check at the end of a soak whose jobs have no queues and no limits.
    Traffic and faults have ended FINISH_S before."""

    def __init__(self, platform, ask_state):
        self.platform, self.ask_state = platform, ask_state
        self.idle, self.found = {}, set()  # job -> since when it starves

    def has_room(self, job, s):
        step, places = job.steps[s], 0
        waiting = sum(not job.is_done(s, i) for i in range(step["count"]))
        for x in self.platform.workers:
            if x.usable() and step.get("requirements", "a") in x.all_labels():
                used = [r.step for r in x.runs.values()]
                places += slots(
                    w.WORKER_CPU - sum(u["cpu"] for u in used),
                    w.WORKER_MEM_MB - sum(u["mem_mb"] for u in used),
                    step,
                )
        return places >= ROOM_FACTOR * waiting

    def busy_jobs(self):
        """Ids of jobs with a run, or an end that its owner will hear of."""
        names = set()
        for x in self.platform.workers:
            names.update(name for name, _ in x.runs)
            if x.usable():
                names.update(e[1] for e in x.ended)
        return {name.split(".")[0] for name in names}

    async def poll(self):
        busy = self.busy_jobs()
        for job in self.platform.jobs.values():
            if job in self.found or not job.accepted or job.state:
                continue
            if (
                job.cancel_sent
                or job.id in busy
                or not any(self.has_room(job, s) for s in job.ready_steps())
            ):
                self.idle.pop(job, None)
                continue
            since = self.idle.setdefault(job, w.now())
            if w.now() - since < STARVED_S:
                continue
            state = await self.ask_state(job)
            if state in ("queued", "running", None):
                self.found.add(job)
                about = f"{job.id} {state}, steps {job.ready_steps()} have room"
                self.platform.report_violation("FINISH", about)

    async def watch(self):
        await asyncio.sleep(FINISH_S)
        while True:
            await self.poll()
            await asyncio.sleep(POLL_S)


class Check:
    """Jobs are added when they are sent, and dropped when they are over."""

    def __init__(self, platform, advice):
        self.platform, self.advice = platform, advice
        self.jobs = []
        self.faults = 0  # under way
        self.last_fault = w.now()
        self.found = []  # (job, key of what starves)
        self.asking = set()
        self.ask_state = None  # coroutine: the job's state as callers see it

    def begin_fault(self, text):
        self.faults += 1
        self.platform.note_fault(text)

    def end_fault(self, text):
        self.faults -= 1
        self.last_fault = w.now()
        self.platform.note_fault(f"end of {text}")

    def calm(self):
        return not self.faults and w.now() - self.last_fault >= CALM_S

    def places(self, job, s):
        admitted = self.advice.admission(job, s).workers
        return sum(places_on(x, job.steps[s]) for x in admitted)

    def has_room(self, job, s, tasks):
        return self.places(job, s) >= ROOM_FACTOR * tasks

    # ---- what starves ----------------------------------------------------

    def lasting_tasks(self, job, s):
        """Numbers of a step's tasks that have room but no run."""
        for i, t in enumerate(job.tasks_of(s)):
            if t.running or t.listed or w.now() - t.idle_since < LASTING_S:
                continue
            if self.has_room(job, s, 1):
                yield s, i

    def waiting_tasks(self, job, s):
        """How many have to start at once, or wait."""
        step = job.steps[s]
        if step.get("gang"):
            return step["count"]
        return sum(not job.is_done(s, i) for i in range(step["count"]))

    def starving(self, job):
        """Keys of what starves now: (step, task, ALL or ONE)."""
        if not job.team.under_half():
            return
        ready = job.ready_steps()
        lasting = [s for s in ready if job.steps[s].get("long_running")]
        for s in lasting:
            yield from self.lasting_tasks(job, s)
        if job.active or job.has_listed_ends():
            return
        for s in ready:
            if s in lasting:
                continue
            room = self.has_room(job, s, self.waiting_tasks(job, s))
            if room:
                yield s, ALL
            if not job.steps[s].get("gang"):
                if room or self.has_room(job, s, 1):
                    yield s, ONE

    def look(self, job):
        if not self.calm():
            job.starving = {}
            return
        now, keys = w.now(), set(self.starving(job))
        if job.changed_at > now - POLL_S:
            keys -= {k for k in keys if k[1] in (ALL, ONE)}
        job.starving = {k: job.starving.get(k, now) for k in keys}
        for key, since in job.starving.items():
            if now - since >= STARVED_S and (job.id, key) not in self.found:
                self.found.append((job.id, key))
                self.confirm(job, key)

    def confirm(self, job, key):
        """A worker that crashes takes ends with it that its owner has seen, but
        not acknowledged.  The state that callers see tells of them."""
        if self.ask_state is None:
            self.report(job, key)
            return

        async def ask():
            if await self.ask_state(job) in ("queued", "running"):
                self.report(job, key)
            else:
                self.found.remove((job.id, key))

        t = asyncio.ensure_future(ask())
        self.asking.add(t)
        t.add_done_callback(self.asking.discard)

    def report(self, job, key):
        text = self.describe(job, *key)
        if key[1] == ONE:
            self.platform.note(f"room for one task {text}")
        else:
            self.platform.report_violation("STARVED", text)
        for line in self.trace(job, key[0]):
            self.platform.note(line)

    # ---- trace -------------------------------------------------------------

    def describe(self, job, s, index):
        step, p = job.steps[s], self.platform
        which = f"{job.id}.0.{s}" + ("" if index < 0 else f".{index}")
        return (
            f"{which} queue {job.queue.name} rank {job.queue.rank} "
            f"team {job.team.name} {job.team.used_cpu}/{job.team.max_cpu} "
            f"{'gang of ' if step.get('gang') else ''}{step['count']} x "
            f"{step['cpu']} cpu {step['mem_mb']} MB, "
            f"waits for {self.waiting_tasks(job, s)}, "
            f"places {self.places(job, s)} on "
            f"{len(self.advice.admission(job, s).workers)} workers, "
            f"accepted {job.accepted_at - p.started_at:.2f} s, "
            f"last run {job.changed_at - p.started_at:.2f} s, "
            f"failed {[t.failed for t in job.tasks_of(s)]}"
        )

    def trace(self, job, s):
        a, began = self.advice.admission(job, s), self.platform.started_at
        for at, node, named, good in a.questions:
            yield (
                f"  {at - began:.2f} s {node} asked about {named} workers, "
                f"{good} admitted"
            )
        for x in a.workers:
            asked = [f"{t - began:.2f}" for t in a.asked.get(x.id, [])]
            ticket = (f"{job.id}.0.{s}", x.id, x.born)
            valid_s = self.platform.tickets.get(ticket, 0) - w.now()
            yield (
                f"  {x.id} {x.mode} {x.used_cpu}/{w.WORKER_CPU} cpu "
                f"{x.used_mem} MB born {x.started_at - began:.2f} s, "
                f"places {places_on(x, job.steps[s])}, asked {asked}, "
                f"ticket {'valid' if valid_s > 0 else 'expired'}"
            )

    # ---- polls -------------------------------------------------------------

    def poll(self):
        for x in self.platform.workers:
            measure_room(x)
        self.jobs = [j for j in self.jobs if not self.dropped(j)]
        for job in self.jobs:
            if job.owed():
                self.look(job)
        for t in self.platform.teams:
            t.reset_peak()

    def dropped(self, job):
        return job.state or job.cancel_sent_at or job.over()
