"""Workers of the larger worlds: gangs, runs that fail, and wrong declarations.

The tasks of a gang work together from the moment when all of one run are present.
A member that waits too long for the others ends as alone; when a member ends by
itself, the others end as broken.
"""

import asyncio
import json

import serve
import world as w


class Gang:
    def __init__(self, step):
        self.size, self.members, self.over = step["count"], [], False

    def join(self, run):
        self.members.append(run)
        run.gang = self
        timeout_s = run.worker.platform.gang_timeout_s
        run.timer = later(timeout_s, run.worker.end_run, run, "alone")
        if len(self.members) == self.size and not self.over:
            self.begin()

    def begin(self):
        platform, step = self.members[0].worker.platform, self.members[0].step
        for m in self.members:
            m.timer.cancel()
            m.works_since = w.now()
        self.members[0].timer = later(*self.end_of_work(platform, step))

    def end_of_work(self, platform, step):
        for m in self.members:
            failure = m.worker.failure(step)
            if failure is not None:
                return failure, m.worker.end_run, m, "failed"
        slowest = max(m.worker.pace for m in self.members)
        return step["run_ms"] / 1000 * slowest, self.end_done

    def end_done(self):
        self.over = True
        for m in self.members:
            m.worker.end_run(m, "done")

    def break_up(self):
        """A member has ended; the others end with it."""
        if self.over:
            return
        self.over = True
        for m in self.members:
            m.timer.cancel()
            m.worker.end_run(m, "broken")


def later(seconds, f, *arguments):
    return asyncio.get_running_loop().call_later(seconds, f, *arguments)


class Worker(w.Worker):
    """Counts what is in use, with the most since the last call of reset_peak."""

    def __init__(self, platform, worker_id, host, port, zone, rack, pace):
        self.used_cpu = self.used_mem = self.peak_cpu = self.peak_mem = 0
        self.free_cpu = self.free_mem = 0  # since the last poll of the check
        self.rack, self.pace = rack, pace
        super().__init__(platform, worker_id, f"{host}:{port}", zone)
        self.server = serve.Server(
            self.handle, host, port, w.WORKER_CONNECTIONS_MAX
        )

    def up(self):
        return self.mode != "crashed"

    # ---- runs ------------------------------------------------------------

    def failure(self, step):
        """When a run that begins now fails, in seconds; None: it does not."""
        r = self.platform.rand
        if self.mode == "failing" or step.get("bad"):
            return step["run_ms"] / 1000 * r.uniform(0.1, 0.6)
        if r.random() < step.get("fails", 0):
            return step["run_ms"] / 1000 * r.uniform(0.05, 0.95)
        return None

    def count(self, run, sign):
        cpu, mem = sign * run.step["cpu"], sign * run.step["mem_mb"]
        self.used_cpu += cpu
        self.used_mem += mem
        self.peak_cpu = max(self.peak_cpu, self.used_cpu)
        self.peak_mem = max(self.peak_mem, self.used_mem)
        job_id, _, step, index = run.name.split(".")
        job = self.platform.jobs[job_id]
        job.task(int(step), int(index)).idle_since = w.now()
        job.team.count(cpu, mem)
        job.active += sign
        job.changed_at = w.now()

    def begin_work(self, job, run):
        run.gang, run.works_since = None, w.now()
        self.count(run, 1)
        self.check_team(job, run)
        if run.step.get("gang"):
            run.works_since = None
            key = job.id, run.name.split(".")[2], run.number
            gangs = self.platform.gangs
            gangs.setdefault(key, Gang(run.step)).join(run)
            return
        failure = self.failure(run.step)
        if failure is not None:
            run.timer = later(failure, self.end_run, run, "failed")
            return
        ms = run.step["run_ms"] * self.pace
        run.timer = later(ms / 1000, self.end_run, run, "done")

    def check_team(self, job, run):
        t = job.team
        if t.max_cpu and t.used_cpu > 1.1 * t.max_cpu + run.step["cpu"]:
            self.platform.report_violation("QUOTA", f"{run.name} {t.name}")

    def end_run(self, run, how):
        if (run.name, run.number) not in self.runs:
            return
        self.count(run, -1)
        if run.step.get("long_running"):
            how = "failed" if how == "done" else how
        job_id, _, step, index = run.name.split(".")
        self.platform.jobs[job_id].task(int(step), int(index)).listed += 1
        super().end_run(run, how)
        if run.gang and how != "done":
            run.gang.break_up()

    def record_ends(self, seen):
        known = [e[1] for e in self.ended if e[0] <= seen]
        super().record_ends(seen)
        self.forget_listed(known)

    def forget_listed(self, names):
        for name in names:
            job_id, _, step, index = name.split(".")
            self.platform.jobs[job_id].task(int(step), int(index)).listed -= 1

    def crash(self):
        runs = list(self.runs.values())
        for run in runs:
            self.count(run, -1)
        self.forget_listed([e[1] for e in self.ended])
        super().crash()
        for run in runs:
            if run.gang:
                run.gang.break_up()

    # ---- the worker's process ----------------------------------------------

    def stop_process(self, silent):
        """silent: calls go unanswered, otherwise connections are refused."""
        self.crash()
        self.mode = "crashed"
        if not silent:
            self.server.stop()

    async def start_process(self):
        if self.mode != "crashed":
            return
        self.new_incarnation()
        self.server.stop()  # old connections do not reach a new process
        await self.server.start()
        self.mode = "normal"

    def entry_text(self):
        return json.dumps(
            {
                "service": "svc",
                "address": self.addr,
                "zone": self.zone,
                "version": "1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "born": self.born,
                "capacity": {
                    "cpu": w.WORKER_CPU,
                    "mem_mb": w.WORKER_MEM_MB,
                    "gpus": 0,
                },
                "labels": ["a", self.rack],
            }
        ).encode()

    def reset_peak(self):
        self.peak_cpu, self.peak_mem = self.used_cpu, self.used_mem
