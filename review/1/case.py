"""TWICE: a second copy of a refusal, late, is taken for the answer to the retry of that request.

One of eight upstreams of a keyed service sheds part of its requests and sends second copies of at
most 3 in 100 of its answers, each at the point where the next response is expected: three times for
5 s, with pauses of 3 s.
"""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import harness  # noqa: E402

SHED_SHARE = 0.45
ANSWERS_PER_EXTRA = 34  # One in 34 is less than 3 in 100.
TROUBLE_S = 5.0
PAUSE_S = 3.0
TROUBLES = 3


class TroubledUpstream(harness.Upstream):
    """Sheds requests and repeats some refusals, while the disruption lasts."""

    troubled = False
    sheds = 0
    requests = 0
    extras = 0
    counted = 0

    async def send(self, connection, status, headers, body=b""):
        if self.troubled:
            self.counted += 1
        await super().send(connection, status, headers, body)

    async def request(self, connection, method, target, headers, body):
        late = connection.pop("late", None)
        if late is not None:
            self.world.record.write(f"{self.name} sends a second copy of its refusal of "
                                    f"{late[0]} before its answer to {headers['request-id']}")
            connection["writer"].write(late[1])
            await connection["writer"].drain()
        if self.troubled:
            self.requests += 1
            may_shed = self.sheds + 1 <= SHED_SHARE * self.requests
            if may_shed and self.world.random.random() < 0.6:
                self.sheds += 1
                return await self.shed(connection, headers, target)
        await super().request(connection, method, target, headers, body)

    async def shed(self, connection, headers, target):
        request = headers["request-id"]
        self.world.on_arrival(self, request, target)
        self.world.record.write(f"{self.name} answers {request}: 503 Not-Executed")
        fields = self.echo(headers, {"Not-Executed": "1"})
        await self.send(connection, 503, fields)
        if self.counted >= ANSWERS_PER_EXTRA * (self.extras + 1):
            self.extras += 1
            connection["late"] = (request, harness.format_response(503, fields))


async def play(world):
    world.random = random.Random(11)
    zones = ["za", "zb", "zc"]
    world.add_edges(zones)
    world.upstreams = [TroubledUpstream(world, f"i-{index}", "booking", zones[index % 3],
                                        keyed=True, work_s=0.1) for index in range(8)]
    started = await world.start(harness.configuration(
        "r3", [harness.service("booking", keyed=True)],
        [harness.route("hire", "/hire/", "non_idempotent", "booking", 2500, 600)]))
    if not started:
        return None
    await asyncio.sleep(4)
    tasks = []
    number = 0
    begin = world.record.now()
    victim = world.upstreams[0]
    while world.record.now() < begin + TROUBLES * (PAUSE_S + TROUBLE_S) + 1:
        phase = (world.record.now() - begin) % (PAUSE_S + TROUBLE_S)
        victim.troubled = harness.is_troubled() and phase >= PAUSE_S
        number += 1
        key = world.random.randrange(65536)
        tasks.append(asyncio.ensure_future(world.send(
            world.edges[number % 3], f"c{number:05d}", "/hire/1", "POST", key, 2500, b"pay")))
        await asyncio.sleep(1 / 120)
    victim.troubled = False
    await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    world.record.write(f"{victim.name}: {victim.counted} answers, {victim.extras} second copies, "
                       f"{victim.sheds} of {victim.requests} requests shed")
    runs = {}
    for run in world.runs:
        runs.setdefault(run.request, []).append(run)
    twice = [request for request, all_runs in runs.items() if len(all_runs) > 1]
    refused = [answer[0] for answer in world.answers
               if answer[4] in (408, 421, 429, 503) and answer[0] in runs]
    served = sum(answer[4] == 200 for answer in world.answers)
    world.record.write(f"{served} of {len(world.answers)} requests answered 200; run twice: "
                       f"{twice}; answered as not run, but run: {refused}")
    if served < len(world.answers) / 2:
        return None
    return not twice and not refused


if __name__ == "__main__":
    harness.run_case(FOLDER, play)
