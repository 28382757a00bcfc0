"""BUDGET: a request that crashes upstreams reaches upstreams again and again.

A client sends a request that crashes each upstream that begins to run it, and sends it again after
2 s at another machine, with the same path and body. A crashed upstream is back after 3 s.
"""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import harness  # noqa: E402

POISON = "/read/poison"
RESTART_S = 3.0
CONTACT_S = 3.0
ALLOWED_RETRIES = 3


class FragileUpstream(harness.Upstream):
    """Crashes when it begins to run the poisonous request; comes back under a new name."""

    lives = 0
    address_port = None

    async def request(self, connection, method, target, headers, body):
        if target == POISON and harness.is_troubled():
            self.world.on_arrival(self, headers["request-id"], target)
            self.world.crashes.append(self.world.record.now())
            self.world.record.write(f"{self.name} runs {headers['request-id']} and crashes")
            asyncio.ensure_future(self.crash())
            raise ConnectionError
        await super().request(connection, method, target, headers, body)

    async def crash(self):
        lost = [run.request for run in self.running]
        await self.stop()
        if lost:
            self.world.record.write(f"{self.name} loses {lost}")
        self.world.lost += len(lost)
        name = self.name
        await asyncio.sleep(RESTART_S)
        # Its entry has expired after three heartbeats of silence.
        await self.world.store.write("keyed.servers", name, None)
        self.lives += 1
        self.name = f"{name.split('.')[0]}.{self.lives}"
        self.running = []
        self.waiting = 0
        self.slots = asyncio.Semaphore(self.capacity)
        self.born = int(time.time() * 1000)
        await self.start()


async def play(world):
    world.random = random.Random(3)
    world.crashes = []
    world.lost = 0
    zones = ["za", "zb", "zc"]
    world.add_edges(zones)
    world.upstreams = [FragileUpstream(world, f"i-{index}", "stock", zones[index % 3], work_s=0.1)
                       for index in range(9)]
    if not await world.start(harness.configuration(
            "r3", [harness.service("stock")],
            [harness.route("read", "/read/", "idempotent", "stock", 1500, 300)])):
        return None
    await asyncio.sleep(4)
    begin = world.record.now()
    tasks = []
    number = 0
    poisons = 0
    while world.record.now() < begin + 25:
        number += 1
        if number % 60 == 0:  # Every 2 s.
            poisons += 1
            tasks.append(asyncio.ensure_future(world.send(
                world.edges[poisons % 3], f"p{poisons:03d}", POISON, "GET", None, 1500)))
        tasks.append(asyncio.ensure_future(world.send(
            world.edges[number % 3], f"c{number:05d}", "/read/1", "GET", None, 1500)))
        await asyncio.sleep(1 / 30)
    await asyncio.gather(*tasks)
    arrivals = [at for at, _, _, target in world.arrivals if target == POISON]
    late = []
    if len(world.crashes) >= 3:
        late = [at for at in arrivals if at > world.crashes[2] + CONTACT_S]
    served = sum(answer[4] == 200 for answer in world.answers)
    world.record.write(f"{poisons} sends of the request; {len(world.crashes)} crashes, "
                       f"{world.lost} running requests of others lost; arrivals later than "
                       f"{CONTACT_S} s after the third crash: {len(late)}; "
                       f"{served} of {len(world.answers)} requests answered 200")
    if served < len(world.answers) / 4:
        return None
    return len(late) <= ALLOWED_RETRIES


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, play))
