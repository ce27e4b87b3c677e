"""Tests of the soak's simulated platform."""

import asyncio
import random
import subprocess
import sys
import unittest

import world as w

READERS, WRITERS, SEEDS = 8, 3, 6
END_TIMEOUT_S = 8  # the cancellation takes milliseconds


async def use_store(rand):
    """Runs readers and writers of one topic; all are cancelled on return."""
    store = w.Store(rand)
    topic = store.topic("x")

    async def read(wait_ms):
        while True:
            q = {"topic": "x", "from": len(topic.records), "wait_ms": wait_ms}
            await store.read(q)

    async def write():
        while True:
            await asyncio.sleep(rand.uniform(0, 0.003))
            await topic.put([("k", b"v")])

    for _ in range(READERS):
        asyncio.ensure_future(read(1000))
        asyncio.ensure_future(read(0))
    for _ in range(WRITERS):
        asyncio.ensure_future(write())
    await asyncio.sleep(rand.uniform(0.02, 0.08))


class StoreTest(unittest.TestCase):
    def test_waiting_readers_can_be_cancelled(self):
        """At its end the soak cancels all readers of the store, some of them
        just as their wait times out.  A reader that loses the cancellation
        keeps the soak, and so the whole check, running forever."""
        for seed in range(1, SEEDS + 1):
            with self.subTest(seed=seed):
                subprocess.run(
                    [sys.executable, __file__, "use", str(seed)],
                    timeout=END_TIMEOUT_S,
                    check=True,
                )


if __name__ == "__main__":
    if sys.argv[1:2] == ["use"]:
        asyncio.run(use_store(random.Random(int(sys.argv[2]))))
    else:
        unittest.main()
