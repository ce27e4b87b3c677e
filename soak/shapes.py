"""Cells of the size that users run: nodes, workers, queues, teams and traffic."""

import dataclasses
import math


@dataclasses.dataclass
class Queue:
    name: str
    rank: int
    per_s: float  # jobs a second at full traffic
    steps: float
    width: float  # tasks of a step
    width_max: int
    run_ms: float
    run_max_ms: int
    cpu: int
    cpu_max: int
    mem_mb: int
    decide_ms: float
    worker_ms: float
    valid_ms: int
    admitted_share: float
    gang_share: float = 0
    apart_share: float = 0  # of the steps, those with anti_affinity
    fails: float = 0.02  # of the runs
    bad: float = 0.01  # of the tasks' steps, those that always fail
    attempts_max: int = 3
    slack: float = 2
    target_ms: int = 1000
    declared_error: float = 0.5  # of the logarithm

    def prefix(self):
        return f"/{self.name}/"

    def route(self):
        return {
            "name": f"r-{self.name}",
            "host": "q.example",
            "path_prefix": self.prefix(),
            "service": "svc",
            "priority": self.rank,
            "max_attempts": self.attempts_max,
            "slack_factor": self.slack,
            "target_latency_ms": self.target_ms,
            "advice": {
                "decide_ms": self.decide_ms,
                "period_ms": self.worker_ms,
                "valid_ms": self.valid_ms,
            },
        }

    def cores(self):
        """In use on average at full traffic."""
        tasks = self.per_s * self.steps * self.width
        return tasks * self.run_ms / 1000 * self.cpu / 1000

    def step(self, rand):
        run_ms = draw(rand, self.run_ms, 0.5, self.run_max_ms)
        error = math.exp(rand.gauss(0, self.declared_error))
        step = {
            "count": round(draw(rand, self.width, 0.6, self.width_max)),
            "cpu": round(draw(rand, self.cpu, 0.4, self.cpu_max)),
            "mem_mb": round(draw(rand, self.mem_mb, 0.5, 2 * self.mem_mb)),
            "estimate_ms": max(1, round(run_ms * error)),
            "run_ms": max(20, round(run_ms)),
            "fails": self.fails,
            "bad": rand.random() < self.bad,
        }
        if rand.random() < self.gang_share:
            step["gang"] = True
        elif rand.random() < self.apart_share:
            step["anti_affinity"] = rand.randint(1, 3)
        return step

    def job_steps(self, rand):
        n = 1
        while n < 4 and rand.random() < 1 - 1 / self.steps:
            n += 1
        steps = [self.step(rand) for _ in range(n)]
        for i in range(1, n):
            steps[i]["after"] = [i - 1]
        return steps


def draw(rand, mean, spread, most):
    """From a log-normal distribution with this mean, and at least 1."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    value = mean * math.exp(rand.gauss(-sigma * sigma / 2, sigma))
    return min(max(value, 1), most)


@dataclasses.dataclass
class Shape:
    zones: list
    nodes: list  # by zone
    workers: int
    rack: int  # workers of one rack
    queues: list
    teams: int
    strengths: list  # (share of a processor, link in Mbit/s) of nodes in turn
    bounds: dict
    largest_share: float = 0.3  # of the traffic, of the largest team
    limit: float = 1.9  # a team's limit, in parts of what it uses on average

    def per_s(self):
        return sum(q.per_s for q in self.queues)

    def cores(self):
        return sum(q.cores() for q in self.queues)

    def team_shares(self):
        parts = [self.largest_share**i for i in range(3)]
        parts = [p * 3 for p in parts[:2]] + [1] * (self.teams - 2)
        return [p / sum(parts) for p in parts]


HIMA = Shape(
    zones=["amman-a", "amman-b", "zarqa-a", "madaba-a"],
    nodes=[2, 3, 1, 1],
    workers=48,
    rack=6,
    teams=6,
    strengths=[(0.25, 1000)],
    bounds={
        "max_hold_ms": 10000,
        "stop_ms": 900,
        "revoke_ms": 5000,
        "status_s": 120,
        "visible_ms": 3000,
        "gang_timeout_ms": 3000,
        "grace_s": 6,
        "cross_rack_factor": 2,
        "notice_ms": 4500,
        "harm_ms": 4000,
    },
    queues=[
        Queue(
            name="damage-survey",
            rank=1,
            per_s=1.47,
            steps=1.2,
            width=6.4,
            width_max=32,
            run_ms=6200,
            run_max_ms=16000,
            cpu=4500,
            cpu_max=7600,
            mem_mb=13000,
            decide_ms=440,
            worker_ms=6.3,
            valid_ms=2500,
            admitted_share=0.35,
            gang_share=1,
            bad=0.03,
            slack=2.2,
            target_ms=1000,
        ),
        Queue(
            name="claim-pack",
            rank=2,
            per_s=4.34,
            steps=1.5,
            width=10,
            width_max=60,
            run_ms=3400,
            run_max_ms=8400,
            cpu=980,
            cpu_max=2900,
            mem_mb=2800,
            decide_ms=72,
            worker_ms=1,
            valid_ms=2500,
            admitted_share=0.45,
            apart_share=0.12,
            attempts_max=2,
            slack=4,
            target_ms=3000,
        ),
        Queue(
            name="order-check",
            rank=0,
            per_s=48.1,
            steps=1,
            width=2,
            width_max=12,
            run_ms=640,
            run_max_ms=1600,
            cpu=1400,
            cpu_max=4200,
            mem_mb=4000,
            decide_ms=6.5,
            worker_ms=0.093,
            valid_ms=2500,
            admitted_share=0.7,
            gang_share=0.3,
            bad=0.03,
            slack=1.5,
            target_ms=250,
        ),
    ],
)

CRB = Shape(
    zones=["bc-coast-a", "bc-coast-b", "bc-coast-c"],
    nodes=[14, 15, 14],
    workers=350,
    rack=8,
    teams=20,
    strengths=[(0.09, 10), (0.12, 50), (0.25, 100), (0.5, 200)],
    bounds={
        "max_hold_ms": 6000,
        "stop_ms": 400,
        "revoke_ms": 5000,
        "status_s": 120,
        "visible_ms": 3000,
        "gang_timeout_ms": 4000,
        "grace_s": 6,
        "cross_rack_factor": 2,
        "notice_ms": 5500,
        "harm_ms": 4500,
    },
    queues=[
        Queue(
            name="riding-recount",
            rank=1,
            per_s=3.77,
            steps=1.2,
            width=16,
            width_max=80,
            run_ms=5300,
            run_max_ms=16000,
            cpu=4500,
            cpu_max=7600,
            mem_mb=9100,
            decide_ms=440,
            worker_ms=6.2,
            valid_ms=2500,
            admitted_share=0.35,
            gang_share=1,
            fails=0.03,
            slack=2.2,
            target_ms=1000,
        ),
        Queue(
            name="poll-summary",
            rank=2,
            per_s=7.89,
            steps=1.5,
            width=25,
            width_max=150,
            run_ms=2300,
            run_max_ms=24000,
            cpu=1700,
            cpu_max=5200,
            mem_mb=3600,
            decide_ms=100,
            worker_ms=1.4,
            valid_ms=2500,
            admitted_share=0.45,
            apart_share=0.12,
            fails=0.19,
            slack=4,
            target_ms=3000,
        ),
        Queue(
            name="page-refresh",
            rank=0,
            per_s=110,
            steps=1,
            width=3.2,
            width_max=19,
            run_ms=540,
            run_max_ms=5800,
            cpu=2500,
            cpu_max=7400,
            mem_mb=7100,
            decide_ms=7.2,
            worker_ms=0.1,
            valid_ms=2500,
            admitted_share=0.7,
            gang_share=0.3,
            slack=1.5,
            target_ms=300,
        ),
    ],
)

SHAPES = {"hima": HIMA, "crb": CRB}
