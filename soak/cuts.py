"""Cuts of the network as a fault of the soak, and what happens inside them."""

import asyncio
import random
import signal

import net
import world as w

BEGIN_SHARE = 0.4  # of the times at which a cut may begin
CUT_MIN_S, CUT_MAX_S = 1, 12
FREEZE_MIN_S, FREEZE_MAX_S = 0.5, 9  # the longer ones outlast a takeover
RESTART_SHARE = 0.3  # of the times at which restarts before a cut may begin
LATE_BEFORE_MAX_S = 1.5  # time in which calls for the next incarnations come up
DOWN_MAX_S = 1.5
UP_MIN_S, UP_MAX_S = 0.3, 3  # of new incarnations, before the cut
LAPSE_MIN_S = 5  # a shorter cut ends before tasks count as lapsed
STOP_MAX_S = 5  # of a node that was sent SIGTERM and is not frozen
OWNER_POLL_S = 0.05


class Cuts:
    """At most one cut at a time, each in a task of its own, so that the other
    faults go on meanwhile."""

    def __init__(self, soak, rand):
        self.soak, self.rand = soak, rand
        self.restart_rand = random.Random(soak.seed + 4)
        self.task = None

    def owner(self):
        """The node with the newest claim, or None."""
        owners = self.soak.platform.store.owners
        addr = owners[max(owners)] if owners else None
        return next((n for n in self.soak.nodes if n.addr == addr), None)

    def begin_cut(self, nodes, workers, stalls):
        self.soak.net.cut = net.Cut(
            [n.addr for n in nodes], [x.id for x in workers], stalls
        )
        self.soak.platform.note_fault(
            f"cut {' '.join(sorted(n.addr for n in nodes))} "
            f"{' '.join(sorted(x.id for x in workers))} "
            f"{'stalls' if stalls else 'loses'} connections"
        )

    def end_cut(self):
        if self.soak.net.cut:
            self.soak.net.cut = None
            self.soak.platform.note_fault("end of the cut")

    def maybe_begin(self):
        if self.task and self.task.done():
            self.task.result()  # an error of the soak ends it
            self.task = None
        if self.task is None and self.restart_rand.random() < RESTART_SHARE:
            self.task = asyncio.ensure_future(self.restart_then_cut())
        if self.task is None and self.rand.random() < BEGIN_SHARE:
            self.task = asyncio.ensure_future(self.run_cut())

    async def end(self):
        """Ends the cut that is in force, at the end of the soak."""
        task, self.task = self.task, None
        if task:
            task.cancel()
            try:
                await task
            except asyncio.CancelledError:
                pass
        for n in self.soak.nodes:
            n.frozen = False
        self.end_cut()

    def choose_sides(self):
        r, s = self.rand, self.soak
        node = self.owner() if r.random() < 0.75 else None
        near = {node or r.choice(s.nodes)}
        if r.random() < 0.2:
            near.add(r.choice(s.nodes))
        count = max(1, round(r.random() * s.nworkers * 0.8))
        return near, r.sample(s.platform.workers, count)

    async def run_cut(self):
        r = self.rand
        near, workers = self.choose_sides()
        seconds = r.uniform(CUT_MIN_S, CUT_MAX_S)
        self.begin_cut(near, workers, r.random() < 0.5)
        faults = [
            self.freeze(r.choice(sorted(near, key=lambda n: n.index)), seconds),
            self.kill_successor(near, seconds),
            self.restart_worker(workers, seconds),
            self.disturb_store(seconds),
            self.stop_nodes(seconds),
        ]
        for f in faults[:]:
            if r.random() < 0.6:
                faults.remove(f)
                f.close()
        try:
            await asyncio.gather(self.end_after(seconds), *faults)
        finally:
            self.end_cut()

    async def end_after(self, seconds):
        await asyncio.sleep(seconds)
        self.end_cut()

    async def restart_then_cut(self):
        """Workers restart under their ids, answer, and are cut off from all
        nodes.  At times calls to the former incarnations are carried out late,
        and the owner is killed before the cut."""
        r, p = self.restart_rand, self.soak.platform
        count = r.randint(1, max(1, self.soak.nworkers // 2))
        workers = r.sample(p.workers, count)
        if r.random() < 0.5:
            for x in workers:
                if x.mode == "normal":
                    x.mode = "late"
            await asyncio.sleep(r.uniform(0, LATE_BEFORE_MAX_S))
        await self.restart(workers, r.uniform(0, DOWN_MAX_S))
        await asyncio.sleep(r.uniform(UP_MIN_S, UP_MAX_S))
        owner = self.owner()
        if owner and r.random() < 0.4:
            owner.signal(signal.SIGKILL)
            await asyncio.sleep(r.uniform(0, 1))
        self.begin_cut([], workers, r.random() < 0.5)
        try:
            await asyncio.sleep(r.uniform(LAPSE_MIN_S, CUT_MAX_S))
        finally:
            self.end_cut()

    async def restart(self, workers, seconds):
        """They are down for so long."""
        self.soak.platform.note_fault(
            f"restart {' '.join(x.id for x in workers)}"
        )
        for x in workers:
            x.crash()
            x.mode = "crashed"
        await asyncio.sleep(seconds)
        for x in workers:
            if x.mode == "crashed":
                x.new_incarnation()
                x.mode = "normal"

    # ---- faults inside a cut -------------------------------------------

    async def freeze(self, node, seconds):
        """The node may wake inside the cut or after it."""
        r = self.rand
        await asyncio.sleep(r.uniform(0, seconds))
        node.frozen = True
        self.soak.platform.note_fault(f"freeze {node.addr}")
        node.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(r.uniform(FREEZE_MIN_S, FREEZE_MAX_S))
        finally:
            node.frozen = False
            self.soak.platform.note_fault(f"wake {node.addr}")
            node.signal(signal.SIGCONT)

    async def kill_successor(self, near, seconds):
        end = w.now() + seconds
        while (owner := self.owner()) is None or owner in near:
            if w.now() > end:
                return
            await asyncio.sleep(OWNER_POLL_S)
        await asyncio.sleep(self.rand.uniform(0, end - w.now()))
        self.soak.platform.note_fault(f"kill successor {owner.addr}")
        owner.signal(signal.SIGKILL)

    async def restart_worker(self, workers, seconds):
        r = self.rand
        await asyncio.sleep(r.uniform(0, seconds))
        await self.restart([r.choice(workers)], r.uniform(0, 2))

    async def disturb_store(self, seconds):
        r, store = self.rand, self.soak.platform.store
        await asyncio.sleep(r.uniform(0, seconds))
        store.mode = r.choice(["busy", "losing", "late", "slow"])
        self.soak.platform.note_fault(f"store {store.mode}")
        await asyncio.sleep(r.uniform(0.3, 3))
        store.mode = "normal"
        self.soak.platform.note_fault("store normal")

    async def stop_nodes(self, seconds):
        """A roll: nodes stop by SIGTERM one after the other and start again."""
        r = self.rand
        await asyncio.sleep(r.uniform(0, seconds / 2))
        for n in r.sample(self.soak.nodes, min(3, len(self.soak.nodes))):
            self.soak.platform.note_fault(f"roll {n.addr}")
            n.signal(signal.SIGTERM)
            await asyncio.sleep(0.5)
            end = w.now() + STOP_MAX_S
            while n.running() and w.now() < end:
                await asyncio.sleep(0.1)
            await n.start()
