"""Some workers answer holds, but no starts and stops.  Each accepted job has to
end on the others, FINISH_S after it was accepted.

    soak/orders_case.py BUILD [--seed N] [--keep DIR]

The exit status is 0 if there was no violation and each job completed.
"""

import asyncio
import sys

import cut_case
import soak as s
import starve

JOBS, TASK_CPU, TASK_MS = 12, 12000, 700
FILLERS, FILLER_MS = 4, 800  # so that all workers have a lease
IGNORING = 2  # workers


async def submit_all(soak, count, run_ms):
    jobs = (cut_case.submit(soak, 1, TASK_CPU, run_ms) for _ in range(count))
    return await asyncio.gather(*jobs)


async def play(soak):
    p = soak.platform
    p.prints_notes = True
    await asyncio.sleep(1.5)
    await submit_all(soak, FILLERS, FILLER_MS)
    await asyncio.sleep(2 * FILLER_MS / 1000)
    for x in soak.rand.sample(p.workers, IGNORING):
        x.ignores_orders, x.late_share = True, 0
        p.note(f"{x.id} ignores orders")
    jobs = await submit_all(soak, JOBS, TASK_MS)
    for _ in range(starve.FINISH_S):
        await asyncio.sleep(1)
        p.note(f"{sum(j.task(0, 0).done for j in jobs)} of {JOBS} jobs done")
    for j in await soak.unfinished_jobs():
        p.report_violation("FINISH", j)


if __name__ == "__main__":
    soak = s.Soak(s.options(nodes=3, workers=4).parse_args())
    soak.platform.advised = False
    sys.exit(s.run_soak(soak, lambda: play(soak)))
