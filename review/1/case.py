"""The store gets slow and then refuses calls; later the owner is killed.

Some jobs are cancelled soon after they were accepted.
"""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import cellworld as cw  # noqa: E402

ROUNDS = 5
SLOW_FACTOR = 60
SLOW_S = 0.8
REFUSING_S = 2
KILL_AFTER_S = 3.2  # from the end of the refusals
REST_S = 6
CANCELLED_SHARE = 0.35
CANCEL_WITHIN_S = 0.9  # of the acknowledgement

cell = cw.Cell(os.path.join(HERE, "record.txt"), nodes=4)
for i in range(6):
    cell.platform.workers.append(
        cw.Worker(cell, f"w{i}", f"{cell.net}.{100 + i}", cell.port + 6,
                  ["a", "r1-1"])
    )
traffic = True


async def cancel(job):
    await asyncio.sleep(cell.rand.uniform(0, CANCEL_WITHIN_S))
    for _ in range(4):
        status, _ = await cell.call("DELETE", f"/q/{job.id}")
        if status == 200:
            job.cancelled_at = cw.w.now()
            cell.record.note(f"job {job.id}: its cancelling is acknowledged")
            return
        await asyncio.sleep(0.5)


async def caller():
    """One or two tasks of 1 core and 0.2 to 1 s."""
    step = {
        "count": cell.rand.randint(1, 2),
        "cpu": 1000,
        "mem_mb": 256,
        "estimate_ms": cell.rand.randint(200, 1000),
    }
    job = await cell.submit([step])
    if job.accepted and cell.rand.random() < CANCELLED_SHARE:
        await cancel(job)


async def callers():
    while traffic:
        cell.spawn(caller())
        await asyncio.sleep(0.025)


async def trouble():
    cell.record.note("the store is slow")
    cell.store_slowness = SLOW_FACTOR
    await asyncio.sleep(SLOW_S)
    cell.record.note("the store refuses calls")
    cell.store_slowness = 1
    cell.platform.store.mode = "busy"
    await asyncio.sleep(REFUSING_S)
    cell.record.note("the store serves calls")
    cell.platform.store.mode = "normal"
    await asyncio.sleep(KILL_AFTER_S)
    owner = cell.owner()
    cell.record.note(f"SIGKILL to node {owner}")
    cell.procs[owner].send_signal(signal.SIGKILL)
    await cell.procs[owner].wait()
    await asyncio.sleep(1)
    cell.procs[owner] = await cell.start_node(owner)


async def play():
    global traffic
    cell.spawn(callers())
    for _ in range(ROUNDS):
        await asyncio.sleep(3)
        if cw.TROUBLE != "0":
            await trouble()
        await asyncio.sleep(REST_S)
    traffic = False
    await asyncio.sleep(4)


sys.exit(cw.run_case(cell, play, "UNASKED"))
