"""CONFIG: requests that wait for a slot are never answered once their zone is evacuated.

Three zones with an edge and two upstreams each are at their capacity, so that some requests wait
for a slot. Then one zone after the other is evacuated for 4 s and taken back, twice.
"""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import harness  # noqa: E402

TIMEOUT_MS = 1500
DEADLINE_MS = 3000
CLIENTS = 66
ROUNDS = 2
EVACUATION_S = 4.0


async def play(world):
    world.random = random.Random(3)
    zones = ["za", "zb", "zc"]
    world.add_edges(zones)
    world.upstreams = [harness.Upstream(world, f"i-{index}", "till", zones[index % 3],
                                        work_s=0.12) for index in range(6)]
    if not await world.start(harness.configuration(
            "r3", [harness.service("till")],
            [harness.route("pay", "/pay/", "non_idempotent", "till", TIMEOUT_MS, 400)])):
        return None
    await asyncio.sleep(4)
    stopping = False
    number = 0

    async def client(index):
        nonlocal number
        while not stopping:
            number += 1
            outcome, _ = await world.send(world.edges[index % 3], f"c{number:05d}", "/pay/1",
                                          "POST", None, DEADLINE_MS, b"pay")
            await asyncio.sleep(0.02 if outcome == 200 else 0.2)

    clients = [asyncio.ensure_future(client(index)) for index in range(CLIENTS)]
    await asyncio.sleep(3)
    for zone in zones * ROUNDS:
        if harness.is_troubled():
            await world.store.write("keyed.op", f"evacuate/{zone}", "{}")
            world.record.write(f"store acknowledges the evacuation of {zone}")
        await asyncio.sleep(EVACUATION_S)
        if harness.is_troubled():
            await world.store.write("keyed.op", f"evacuate/{zone}", None)
            world.record.write(f"store acknowledges that {zone} is back")
        await asyncio.sleep(2)
    stopping = True
    await asyncio.gather(*clients)
    late = [answer for answer in world.answers
            if answer[3] - answer[2] >= TIMEOUT_MS / 1000]
    unanswered = [answer for answer in late
                  if answer[4] == "no answer" or answer[3] - answer[2] > TIMEOUT_MS / 1000 + 0.5]
    served = sum(answer[4] == 200 for answer in world.answers)
    for answer in unanswered:
        world.record.write(f"never answered: {answer[0]} at {answer[5].name}, sent {answer[2]:.3f}")
    world.record.write(f"{served} of {len(world.answers)} requests answered 200; without an answer "
                       f"at the route's time of {TIMEOUT_MS} ms: {len(late)}, half a second later: "
                       f"{len(unanswered)}")
    if served < len(world.answers) / 4:
        return None
    return len(unanswered) <= len(late) / 2


if __name__ == "__main__":
    harness.run_case(FOLDER, play)
