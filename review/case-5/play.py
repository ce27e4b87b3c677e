import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import world2 as w


async def play(world, trouble):
    lasting = [
        {"count": 40, "cpu": 100, "mem_mb": 500, "estimate_ms": 1000,
         "long_running": True, "anti_affinity": 1}
    ]
    small = [{"count": 60, "cpu": 250, "mem_mb": 900, "estimate_ms": 1000}]
    jobs = [await world.submit(0, lasting)]
    await asyncio.sleep(2)
    for _ in range(2):
        if await world.burst(70, small, 1000):
            raise RuntimeError("the burst does not end")
    await asyncio.sleep(2)
    silent_at = w.now()
    if trouble:
        n = [e.server.silence() for e in world.executors]
        world.note(f"the open connections to executors go silent: {n}")
    await asyncio.sleep(30)
    return world.not_running(
        [f"{j.id}.0.0.{i}" for j in jobs for i in range(40)],
        silent_at + w.BOUNDS["contact_ms"] / 1000 + 4,
    )


w.main("LOST", play)
