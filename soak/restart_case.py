"""Workers restart under their ids, answer, and some are cut off from all nodes
while long tasks run.  No task may run twice, and none after its recorded end.

    soak/restart_case.py BUILD {cut,kill,late} [--seed N] [--keep DIR]

cut: the owner stays.
kill: the owner is killed between the restart and the cut.
late: calls to the former incarnations are carried out late, by the new ones.
The exit status is 0 if there was no violation and each job completed.
"""

import asyncio
import signal
import sys

import cut_case
import soak as s

CASES = ["cut", "kill", "late"]
TASKS, TASK_CPU, TASK_MS = 10, 6500, 14000
SHORT_TASKS, SHORT_CPU, SHORT_MS = 10, 300, 100
SHORT_INTERVAL_S = 0.04
CUT_OFF = 4  # workers; the others have room for all tasks
BEFORE_RESTART_S, LATE_BEFORE_S = 1, 1.5
DOWN_S = 0.6
UP_BEFORE_CUT_S = 2  # long enough to start tasks on the new incarnations
KILL_MIN_S, KILL_MAX_S = 1, 1.8  # after the restart
CUT_S = 12  # outlasts the longest lease


async def start_short_tasks(soak):
    """Keeps starts on their way to all workers."""
    while True:
        t = asyncio.ensure_future(
            cut_case.submit(soak, SHORT_TASKS, SHORT_CPU, SHORT_MS)
        )
        soak.calls.add(t)
        t.add_done_callback(soak.calls.discard)
        await asyncio.sleep(SHORT_INTERVAL_S)


async def play(soak, case):
    p = soak.platform
    p.prints_notes = True
    job = await cut_case.start_job(soak, TASKS, TASK_CPU, TASK_MS)
    if job is None:
        return
    short_tasks = asyncio.ensure_future(start_short_tasks(soak))
    await asyncio.sleep(BEFORE_RESTART_S)
    if case == "late":
        for x in p.workers:
            x.mode = "late"
        await asyncio.sleep(LATE_BEFORE_S)
    cut_case.note_states(soak, job)
    await soak.cuts.restart(p.workers, DOWN_S)
    short_tasks.cancel()
    until_kill_s = soak.rand.uniform(KILL_MIN_S, KILL_MAX_S)
    await asyncio.sleep(until_kill_s)
    if case == "kill":
        soak.cuts.owner().signal(signal.SIGKILL)
    await asyncio.sleep(UP_BEFORE_CUT_S - until_kill_s)
    busiest = sorted(p.workers, key=lambda x: -len(x.runs))
    await cut_case.cut_off(soak, job, [], busiest[:CUT_OFF], CUT_S)


def main():
    p = s.options(nodes=3, workers=10)
    p.add_argument("case", choices=CASES)
    a = p.parse_args()
    soak = s.Soak(a)
    soak.platform.advised = False  # starts need no ticket of the incarnation
    return s.run_soak(soak, lambda: play(soak, a.case))


if __name__ == "__main__":
    sys.exit(main())
