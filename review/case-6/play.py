import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import world2 as w


async def freeze_owner(world):
    n = world.owner()
    n.signal(signal.SIGSTOP)
    await asyncio.sleep(4)
    n.signal(signal.SIGCONT)


def note_connections(world):
    open_now = " ".join(str(len(e.server.connections)) for e in world.executors)
    reset = sum(e.server.refused for e in world.executors)
    world.note(f"connections of the executors: {open_now}; {reset} were reset")


async def play(world, trouble):
    small = [{"count": 60, "cpu": 250, "mem_mb": 900, "estimate_ms": 1000}]
    owners = []
    for _ in range(3):
        await world.burst(70, small, 1000)
        await asyncio.sleep(1)
        note_connections(world)
        owners.append(world.owner())
        if trouble:
            await freeze_owner(world)
        await asyncio.sleep(4)
        # A node that was the owner before has its connections still.
        if len(owners) > 1 and world.owner() not in owners:
            break
    left = await world.burst(70, small, 1000, wait_s=10)
    traffic_end = max(j.accepted for j in world.jobs.values() if j.accepted)
    finish = traffic_end + w.BOUNDS["finish_s"]
    await asyncio.sleep(max(0, finish + 8 - w.now()))
    note_connections(world)
    open_jobs = []
    for j in left:
        _, out = await world.call("GET", j.id)
        if out.get("state") != "completed":
            open_jobs.append(j)
    return world.standing(open_jobs, finish)


w.main("LOST", play)
