"""Workers are cut off from the nodes with resets, one after the other."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import cellworld as cw  # noqa: E402

WORKERS = 6
CUT_S = 3
CUTS = 4
BETWEEN_S = 5

cell = cw.Cell(os.path.join(HERE, "record.txt"), nodes=3)
for i in range(WORKERS):
    cell.platform.workers.append(
        cw.Worker(cell, f"w{i}", f"{cell.net}.{100 + i}", cell.port + 6,
                  ["a", "r1-1"])
    )


async def callers(seconds):
    """Steps of four tasks of 2 cores and 2.5 s: about half of the room."""
    end = cw.w.now() + seconds
    while cw.w.now() < end:
        cell.spawn(
            cell.submit(
                [{"count": 4, "cpu": 2000, "mem_mb": 256, "estimate_ms": 2500}]
            )
        )
        await asyncio.sleep(0.4)


def busiest():
    return max(cell.platform.workers, key=lambda x: len(x.runs))


async def cuts():
    for _ in range(CUTS):
        await asyncio.sleep(BETWEEN_S)
        worker = busiest()
        worker.cut()
        await asyncio.sleep(CUT_S)
        await worker.heal()


async def play():
    seconds = (BETWEEN_S + CUT_S) * CUTS + 2
    cell.spawn(callers(seconds))
    if cw.TROUBLE != "0":
        cell.spawn(cuts())
    await asyncio.sleep(seconds + 5)


sys.exit(cw.run_case(cell, play, "TWICE"))
