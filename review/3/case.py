"""DRAIN: a late write of a heartbeat puts a draining upstream back into use.

The store loses the answer to one heartbeat of an upstream and executes the write 5.9 s later. In
between the upstream has reported `draining`. The late entry has a lower `sequence`. The upstream
exits one second after `drainMs`.
"""
import asyncio
import json
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import harness  # noqa: E402

HEARTBEAT_S = 0.87
DRAIN_S = 2.0
LATE_S = 5.9  # The store executes a write whose answer was lost 1 to 6 s later.
DRAIN_AFTER_S = 3.3  # Longer than contactMs after the lost answer: the store is stable again.
SERVES_ON_S = 3.0  # Until it exits, after the store has accepted that it drains.


class ReportingUpstream(harness.Upstream):
    """Writes a heartbeat with a rising sequence; the entry changes when more than that changes."""

    sequence = 0
    lost = ()

    async def exit(self, delay_s):
        await asyncio.sleep(delay_s)
        self.lost = tuple(run.request for run in self.running)
        self.world.record.write(f"{self.name} exits, at work on {list(self.lost)}")
        await self.stop()

    def entry(self):
        self.sequence += 1
        return {"address": self.address, "born": self.born,
                "info": {"service": self.service, "zone": self.zone, "version": "v1",
                         "capacity": self.capacity},
                "status": {"state": self.state, "sequence": self.sequence, "warmupLeftMs": 0}}

    async def register(self):
        return await self.write(self.entry())

    async def write(self, entry, why=""):
        known = [value for key, value in self.world.store.log("keyed.servers") if key == self.name]
        if known and known[-1] is not None:
            last = json.loads(known[-1])
            last["status"]["sequence"] = entry["status"]["sequence"]
            if last == entry:
                return None
        at = await self.world.store.write("keyed.servers", self.name, json.dumps(entry))
        self.world.record.write(f"store {why}accepts {self.name}: {entry['status']['state']}, "
                                f"sequence {entry['status']['sequence']}")
        return at

    async def heartbeat(self):
        while self.server.is_serving():
            await asyncio.sleep(HEARTBEAT_S)
            if self.server.is_serving():
                await self.register()

    async def lose_answer(self):
        """A heartbeat whose answer is lost and which is executed late."""
        entry = self.entry()
        self.world.record.write(f"{self.name} writes sequence {entry['status']['sequence']} and "
                                "gets no answer")
        await asyncio.sleep(LATE_S)
        await self.write(entry, "late ")


async def play(world):
    world.random = random.Random(3)
    zones = ["za", "zb", "zc"]
    world.add_edges(zones)
    world.upstreams = [ReportingUpstream(world, f"i-{index}", "till", zones[index % 3],
                                         work_s=0.3) for index in range(6)]
    if not await world.start(harness.configuration(
            "r3", [harness.service("till")],
            [harness.route("pay", "/pay/", "non_idempotent", "till", 1500, 400)])):
        return None
    tasks = [asyncio.ensure_future(upstream.heartbeat()) for upstream in world.upstreams]
    await asyncio.sleep(5)
    victim = world.upstreams[0]
    begin = world.record.now()
    requests = []
    accepted = None
    lost = False
    number = 0
    while world.record.now() < begin + DRAIN_AFTER_S + SERVES_ON_S + 1:
        elapsed = world.record.now() - begin
        if not lost and elapsed > 0.5:
            lost = True
            if harness.is_troubled():
                tasks.append(asyncio.ensure_future(victim.lose_answer()))
        if accepted is None and elapsed > 0.5 + DRAIN_AFTER_S:
            victim.state = "draining"
            accepted = await victim.register()
            tasks.append(asyncio.ensure_future(victim.exit(SERVES_ON_S)))
        number += 1
        requests.append(asyncio.ensure_future(world.send(
            world.edges[number % 3], f"c{number:05d}", "/pay/1", "POST", None, 1500, b"pay")))
        await asyncio.sleep(1 / 60)
    await asyncio.gather(*requests)
    for task in tasks:
        task.cancel()
    sent = {answer[0]: answer[2] for answer in world.answers}
    late = [(request, at) for at, upstream, request, _ in world.arrivals
            if upstream is victim and sent[request] > accepted + DRAIN_S]
    for request, at in late:
        world.record.write(f"DRAIN: {request}, sent {sent[request] - accepted:.3f} s after the "
                           f"store accepted that {victim.name} drains, reaches it at {at:.3f}")
    served = sum(answer[4] == 200 for answer in world.answers)
    world.record.write(f"{served} of {len(world.answers)} requests answered 200; requests that "
                       f"reach the draining upstream too late: {len(late)}, cut by its exit: "
                       f"{len(victim.lost)}")
    if served < len(world.answers) / 2:
        return None
    return not late


if __name__ == "__main__":
    harness.run_case(FOLDER, play)
