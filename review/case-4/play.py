import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import world2 as w


async def play(world, trouble):
    # Tasks that run all the while, so that no lease lapses.
    await world.submit(
        60000, [{"count": 24, "cpu": 1000, "mem_mb": 500, "estimate_ms": 60000}]
    )
    small = [{"count": 500, "cpu": 8, "mem_mb": 32, "estimate_ms": 4000}]
    jobs = await asyncio.gather(*(world.submit(4000, small) for _ in range(8)))
    if not all(j.accepted for j in jobs):
        raise RuntimeError("jobs were not accepted")
    while not world.dones:
        await asyncio.sleep(0.02)
    if trouble:
        n = world.owner()
        n.signal(signal.SIGKILL)
        await asyncio.sleep(3.5)
        n.start()
    end = w.now() + 25
    for j in jobs:
        while w.now() < end:
            status, out = await world.call("GET", j.id)
            if out.get("state") == "completed":
                break
            await asyncio.sleep(0.5)
    return world.started_again() + world.at_once


w.main("TWICE", play)
