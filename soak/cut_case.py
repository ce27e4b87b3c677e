"""A scripted cut: the owner and some workers on one side, and the store, the
other nodes and the other workers on the other.  No task may run twice.

    soak/cut_case.py BUILD {running,ended} [--seed N] [--keep DIR]

running: tasks outlast the takeover on a worker of the near side.
ended: tasks end on the far side, where a successor acknowledges their ends.
The exit status is 0 if there was no violation and each job completed.
"""

import asyncio
import collections
import json
import sys

import soak as s
import world as w

BEFORE_CUT_S, CUT_S = 0.5, 12
ASK_INTERVAL_S = 0.3
START_TIMEOUT_S = 20
CASES = {
    # tasks, cpu and duration of each, workers of the near side
    "running": (10, 5000, 14000, 1),
    "ended": (8, 8000, 4000, 2),
}


async def wait_until(holds, seconds):
    end = w.now() + seconds
    while not holds() and w.now() < end:
        await asyncio.sleep(0.02)
    return holds()


async def submit(soak, count, cpu, run_ms):
    soak.last_job += 1
    step = {"count": count, "cpu": cpu, "mem_mb": 100, "estimate_ms": run_ms}
    job = w.Job(f"{soak.last_job:016x}", [step])
    soak.platform.jobs[job.id] = job
    body = json.dumps({"spec": "s", "steps": job.steps}).encode()
    while not job.accepted:
        job.submissions += 1
        status, _ = await soak.call(soak.nodes[0], "POST", f"/q/{job.id}", body)
        job.accepted = status == 200
        if not job.accepted:
            await asyncio.sleep(ASK_INTERVAL_S)
    return job


def note_states(soak, job):
    tasks = job.tasks.values()
    soak.platform.note(
        f"tasks done {sum(t.done for t in tasks)}, of these recorded "
        f"{sum(t.done_recorded for t in tasks)}, "
        f"running {sum(len(t.running) for t in tasks)}, "
        f"owners by epoch {soak.platform.store.owners}"
    )


async def start_job(soak, count, cpu, run_ms):
    """Returns the job once all its tasks run, or None."""
    job = await asyncio.wait_for(
        submit(soak, count, cpu, run_ms), START_TIMEOUT_S
    )
    started = await wait_until(
        lambda: sum(len(t.running) for t in job.tasks.values()) == count,
        START_TIMEOUT_S,
    )
    if not started:
        soak.platform.report_violation("OPEN", "not all tasks started")
        return None
    return job


async def cut_off(soak, job, nodes, workers, seconds):
    """Cuts nodes and workers off; the job has to complete after the cut."""
    note_states(soak, job)
    soak.cuts.begin_cut(nodes, workers, False)
    for _ in range(seconds):
        await asyncio.sleep(1)
        note_states(soak, job)
    soak.cuts.end_cut()
    await soak.settle()
    note_states(soak, job)
    if job.state != "completed":
        soak.platform.report_violation("OPEN", job.id)


async def play(soak, case):
    p = soak.platform
    count, cpu, run_ms, near = CASES[case]
    p.prints_notes = True
    job = await start_job(soak, count, cpu, run_ms)
    if job is None:
        return
    await asyncio.sleep(BEFORE_CUT_S)
    # The workers of the near side are those with the most runs.
    busy = collections.Counter({x: len(x.runs) for x in p.workers})
    workers = [x for x, _ in busy.most_common(near)]
    await cut_off(soak, job, [soak.cuts.owner()], workers, CUT_S)


def main():
    p = s.options(nodes=3, workers=5)
    p.add_argument("case", choices=sorted(CASES))
    a = p.parse_args()
    soak = s.Soak(a)
    return s.run_soak(soak, lambda: play(soak, a.case))


if __name__ == "__main__":
    sys.exit(main())
