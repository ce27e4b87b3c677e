import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import world2 as w

WAITS = {"count": 1, "cpu": 1000, "mem_mb": 500, "requirements": "none"}


async def submit(world, size):
    """A job of five steps, with names of images of 252,000 + size characters
    together, that waits for an executor with a label that none has."""
    job_id = f"{world.rand.getrandbits(64):016x}"
    steps = [{**WAITS, "image": "x" * 63000} for _ in range(4)]
    steps.append({**WAITS, "image": "x" * size})
    body = {"spec": '{"ms":1000}', "steps": steps}
    assert len(w.json.dumps(body)) <= 262144  # max_body_bytes
    job = world.jobs[job_id] = w.Job(job_id, steps)
    status, _ = await world.call("POST", job_id, body, tries=1)
    if status == 200:
        job.accepted = w.now()
    return job


async def play(world, trouble):
    # The largest job that is accepted.
    least, most = 1000, 9000
    while most - least > 1:
        size = (least + most) // 2
        if (await submit(world, size)).accepted:
            least = size
        else:
            most = size
    jobs = [await submit(world, least - d) for d in range(12)]
    world.note(f"the largest last name that is accepted has {least} characters")
    await asyncio.sleep(w.BOUNDS["visible_ms"] / 1000 + 0.5)
    if trouble:
        n = world.owner()
        n.signal(signal.SIGKILL)
        await asyncio.sleep(3.5)
        n.start()
    await asyncio.sleep(w.BOUNDS["contact_ms"] / 1000 + 1)
    broken = []
    for j in jobs:
        status, _ = await world.call("GET", j.id)
        if j.accepted and status == 410:
            broken.append(
                f"LOST: job {j.id}, accepted at {world.t(j.accepted):.3f} s, is"
                f" answered 410 at {world.t():.3f} s"
            )
    return broken


w.main("LOST", play)
