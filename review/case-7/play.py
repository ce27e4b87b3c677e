import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import world2 as w

SHARE = 0.055  # of the starts that are carried out late
ROUNDS = 5


class LateExecutor(w.Executor):
    """Leaves some starts without an answer and carries them out 2 to 12 s
    later, if it is up then.  A new life can't tell that they were meant for a
    former one, as it has the same id."""

    def handle(self, method, path, headers, body):
        r = self.world.rand
        late = self.up and path == "/api/run-start" and self.world.late
        if late and r.random() < SHARE:
            asyncio.get_running_loop().call_later(
                r.uniform(2, 12), self.carry_out, w.json.loads(body), self.born
            )
            return None
        return super().handle(method, path, headers, body)

    def carry_out(self, b, born):
        if not self.up:
            return
        status, why = self.run_start(b)
        if born != self.born:
            self.world.note(
                f"{self.id} in its next life is reached by the start of"
                f" {b['task']} run {b['run_id']}: {status} {why or ''}"
            )


def prepare(world):
    for e in world.executors:
        e.__class__ = LateExecutor
        e.server.handle = e.handle
    world.late = False


async def restart_some(world):
    """Six of 48 crash and are back 0.6 s later, each under its id."""
    some = world.rand.sample(world.executors, 6)
    for e in some:
        world.note(f"{e.id} crashes")
        e.crash()
    await asyncio.sleep(0.6)
    for e in some:
        await e.start(int(e.addr.rpartition(":")[2]))
        world.note(f"{e.id} is back")


async def play(world, trouble):
    small = [{"count": 60, "cpu": 250, "mem_mb": 900, "estimate_ms": 1000}]
    for _ in range(ROUNDS):
        world.late = trouble
        jobs = asyncio.ensure_future(world.burst(70, small, 1000, wait_s=9))
        await asyncio.sleep(4.5)
        world.late = False
        if trouble:
            await restart_some(world)
        await jobs
        await asyncio.sleep(1)
    await asyncio.sleep(5)
    return world.started_again() + world.at_once


w.main("TWICE", play, prepare)
