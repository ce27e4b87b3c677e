"""Tests of the soak's stand-ins."""

import asyncio
import random
import subprocess
import sys
import unittest

import world as w

READERS, WRITERS, SEEDS = 8, 3, 6
END_S = 8  # an ending takes milliseconds


async def use_store(rand):
    """Readers and writers of one topic, all cancelled while they wait."""
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


class Ending(unittest.TestCase):
    def test_readers_can_be_cancelled(self):
        """The soak is over and cancels whoever still reads the store.  Some
        readers' times end in the same moment.  One that can't be cancelled
        keeps the soak, and the whole check, from ever ending."""
        for seed in range(1, SEEDS + 1):
            with self.subTest(seed=seed):
                subprocess.run(
                    [sys.executable, __file__, "use", str(seed)],
                    timeout=END_S,
                    check=True,
                )


if __name__ == "__main__":
    if sys.argv[1:2] == ["use"]:
        asyncio.run(use_store(random.Random(int(sys.argv[2]))))
    else:
        unittest.main()
