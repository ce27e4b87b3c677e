"""The world's advice service: which workers may run a step, by queue.

Each node has an address of its own, since the service handles one call at a time
for each calling machine.
"""

import asyncio
import hashlib
import json

import world as w

WAITING_MAX = 32  # calls of one machine
TICKET_MARGIN_S = 0.05  # a ticket is good for a little longer than told
FEW_SHARE = 0.04  # of the steps that few workers may run
FEW = (2, 3)


def draw(*parts):
    """A number from 0 to 1 that depends on the parts alone."""
    digest = hashlib.blake2b(repr(parts).encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32


class Admission:
    """The workers that may run a step, and what was asked about it."""

    def __init__(self, workers):
        self.workers = workers
        self.ids = frozenset(x.id for x in workers)
        self.asked = {}  # id -> times of the questions that named the worker
        self.questions = []  # (time, node, workers named, workers admitted)


class Advice:
    def __init__(self, platform, seed):
        self.platform, self.seed = platform, seed
        self.admissions = {}  # (job, step) -> Admission
        self.locks = {}  # node -> lock of the call that is handled
        self.waiting = {}  # node -> calls
        self.refused = 0

    def may_be_few(self, step):
        """Few workers must have room for a gang twice over."""
        if not step.get("gang"):
            return True
        room = FEW[0] * w.WORKER_CPU // (2 * step["cpu"])
        memory = FEW[0] * w.WORKER_MEM_MB // (2 * step["mem_mb"])
        return step["count"] <= min(room, memory)

    def admission(self, job, index):
        key = job.id, index
        a = self.admissions.get(key)
        if a is None:
            a = Admission(self.admitted(job, index))
            self.admissions[key] = a
        return a

    def admitted(self, job, index):
        ranked = sorted(
            self.platform.workers,
            key=lambda x: draw(self.seed, job.id, index, x.id),
        )
        step, luck = job.steps[index], draw(self.seed, job.id, index)
        if luck < FEW_SHARE and self.may_be_few(step):
            return ranked[: FEW[int(luck * 1e6) % len(FEW)]]
        share = job.queue.admitted_share
        if not step.get("gang"):
            low = [draw(self.seed, job.id, index, x.id) < share for x in ranked]
            return ranked[: max(sum(low), FEW[0])]
        return ranked[: max(round(share * len(ranked)), FEW[0])]

    def answer_for(self, node, b, named):
        """Rows of worker and ticket, and how long they are valid."""
        job_id, _, index = b["step"].split(".")
        p, job = self.platform, self.platform.jobs.get(job_id)
        if job is None:
            return [], 0
        a = self.admission(job, int(index))
        valid_s = job.queue.valid_ms / 1000
        good = []
        for x in named:
            a.asked.setdefault(x.id, []).append(w.now())
            if x.id in a.ids and x.up():
                p.tickets[(b["step"], x.id, x.born)] = (
                    w.now() + valid_s + TICKET_MARGIN_S
                )
                good.append([x.id, f"t{job_id[-4:]}{x.id}"])
        a.questions.append((w.now(), node, len(named), len(good)))
        return good, job.queue.valid_ms

    async def answer(self, node, body):
        b = json.loads(body)
        by_id = self.platform.workers_by_id
        named = [by_id[i] for i in b["workers"] if i in by_id]
        job = self.platform.jobs.get(b["step"].split(".")[0])
        if self.waiting.get(node, 0) >= WAITING_MAX:
            self.refused += 1
            return w.answer(429, {})
        self.waiting[node] = self.waiting.get(node, 0) + 1
        try:
            async with self.locks.setdefault(node, asyncio.Lock()):
                if job:
                    q = job.queue
                    ms = q.decide_ms + q.worker_ms * len(b["workers"])
                    await asyncio.sleep(ms / 1000)
                good, valid_ms = self.answer_for(node, b, named)
        finally:
            self.waiting[node] -= 1
        return w.answer(200, {"good": good, "valid_ms": valid_ms})
