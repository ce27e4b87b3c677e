"""Faults that come in series, and some that last to the end of the soak.

They have a random generator of their own, and go on beside the other faults.
Connections go silent for good while new ones work.  Workers answer holds, but no
starts and stops.  Owners freeze in turn.  Workers restart under their ids and stay
silent, or carry out the starts that their former incarnation got.  Many small
tasks end at the same time while nobody asks for their ends.
"""

import asyncio
import signal

import world as w

BEGIN_S = (1, 5)  # from one to the next
FREEZE_S, BETWEEN_S = (2, 5), (0.5, 3)
IGNORE_S = (2, 10)
KEEP_S, DOWN_S = (0.3, 1.5), (0, 1.5)  # starts before a restart, and the restart
LATE_S = (0, 1)  # from the birth of an incarnation to the former one's starts
LASTING_SHARE = 0.3  # of the times at which orders are ignored
LASTING_WORKERS = 0.25  # of all workers, at most, with troubles that last
SMALL_TASKS, SMALL_CPU, SMALL_MS = 1300, 5, 12000
SMALL_WAIT_S, SMALL_MORE_S, SMALL_ENOUGH = (2, 4), 6, 1200  # tasks that run
FROZEN_AFTER_S, POLL_S = 0.1, 0.1
SMALL_WORKERS, SMALL_LABEL = 2, "small"


class Troubles:
    def __init__(self, soak, rand):
        self.soak, self.rand = soak, rand
        self.note = soak.platform.note_fault
        self.tasks, self.ending = set(), False
        self.lost = 0  # workers whose trouble never ends

    async def pause(self, seconds):
        await asyncio.sleep(self.rand.uniform(*seconds))

    async def inject(self, until):
        kinds = [self.freeze_owners, self.silence_connections]
        kinds += [self.ignore_orders, self.restart_silent]
        kinds += [self.restart_with_late_starts, self.end_at_once]
        if self.rand.random() < 0.5:
            self.begin(self.freeze_at(until - self.rand.random()))
        while w.now() + (pause := self.rand.uniform(*BEGIN_S)) < until:
            await asyncio.sleep(pause)
            self.begin(self.rand.choice(kinds)())

    def begin(self, trouble):
        self.tasks.add(asyncio.ensure_future(trouble))

    async def end(self):
        """Those under way end by themselves.  What is lost for good stays so."""
        self.ending = True
        while self.tasks:
            await self.tasks.pop()

    # ---- nodes and connections -----------------------------------------

    async def freeze_owner(self):
        n = self.soak.cuts.owner()
        if n is None or n.frozen:
            return
        n.frozen = True
        n.signal(signal.SIGSTOP)
        await self.pause(FREEZE_S)
        n.frozen = False
        n.signal(signal.SIGCONT)
        self.note(f"{n.addr} goes on")

    async def freeze_owners(self):
        for _ in range(self.rand.randint(1, 3)):
            if self.ending:
                return
            await self.freeze_owner()
            await self.pause(BETWEEN_S)

    async def freeze_at(self, at):
        await asyncio.sleep(at - w.now())
        await self.freeze_owner()

    async def silence_connections(self):
        r = self.rand
        ends = r.choice(self.soak.silenceable)
        ends = r.sample(ends, r.randint(1, len(ends)))
        self.note(f"connections go silent: {' '.join(e.name for e in ends)}")
        for e in ends:
            e.silence()

    # ---- workers -------------------------------------------------------

    def some_workers(self, most):
        """The first ones, which small tasks need, are never lost for good."""
        sound = [
            x
            for x in self.soak.platform.workers[SMALL_WORKERS:]
            if not x.silent and not x.ignores_orders
        ]
        return self.rand.sample(sound, min(len(sound), most))

    def may_last(self):
        return self.lost < LASTING_WORKERS * self.soak.nworkers

    async def ignore_orders(self):
        last = self.may_last() and self.rand.random() < LASTING_SHARE
        workers = self.some_workers(1 if last else self.rand.randint(1, 3))
        names = " ".join(x.id for x in workers)
        self.note(f"{names} ignore orders{' for good' if last else ''}")
        for x in workers:
            x.ignores_orders = True
        if last:
            self.lost += len(workers)
            return
        await self.pause(IGNORE_S)
        for x in workers:
            x.ignores_orders = False
        self.note(f"{names} carry out orders")

    async def restart(self, x):
        """While starts to the worker are unanswered."""
        x.keeps_starts = True
        await self.pause(KEEP_S)
        await self.soak.cuts.restart([x], self.rand.uniform(*DOWN_S))
        x.keeps_starts = False

    async def restart_silent(self):
        for x in self.some_workers(1) if self.may_last() else []:
            self.lost += 1
            await self.restart(x)
            x.heartbeats = self.rand.random() < 0.5
            x.silent, x.silent_since, x.kept_starts = True, w.now(), []
            self.note(f"{x.id} stays silent, heartbeats {x.heartbeats}")

    async def restart_with_late_starts(self):
        for x in self.some_workers(1):
            await self.restart(x)
            await self.pause(LATE_S)
            if x.mode != "crashed" and not x.silent:
                x.carry_out_kept_starts()
            x.kept_starts = []

    async def end_at_once(self):
        """On few workers, while the owner is frozen."""
        step = {"count": SMALL_TASKS, "cpu": SMALL_CPU, "mem_mb": 1}
        step |= {"estimate_ms": SMALL_MS, "requirements": SMALL_LABEL}
        job = await self.soak.hand_in([step], self.rand)
        await self.pause(SMALL_WAIT_S)
        end = w.now() + SMALL_MORE_S
        while not self.ending and w.now() < end:
            if sum(len(t.running) for t in job.tasks.values()) > SMALL_ENOUGH:
                break
            await asyncio.sleep(POLL_S)
        freeze = asyncio.ensure_future(self.freeze_owner())
        await asyncio.sleep(FROZEN_AFTER_S)
        for t in job.tasks.values():
            for run in list(t.running):
                run.worker.end_run(run, "done")
        ends = [len(x.ended) for x in self.soak.platform.workers]
        self.note(f"{ends} ends on the workers")
        await freeze
