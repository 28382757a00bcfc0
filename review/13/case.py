"""The store comes back from a copy some seconds old; seconds later upstreams are taken away."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
import fleet as standins  # noqa: E402

ZONES = ["z1"]
DRAIN_S = 2.0  # drainMs of the site.
STABLE_S = 3.3  # From the store's return until upstreams are taken away; contactMs is 3 s.
SERVES_ON_S = 5  # How long they serve on: drainMs and a little longer.


class Upstream(standins.Upstream):
    """Says in all its answers that it leaves, once it does."""

    def reply(self, writer, status, headers, body=b""):
        leaving = {} if self.registered else {"Server-Leaving": "1"}
        super().reply(writer, status, {**headers, **leaving}, body)


async def traffic(fleet, client):
    while True:
        await asyncio.sleep(random.expovariate(0.5))
        await client.send("POST", "/till/x")


async def case(fleet):
    fleet.upstreams = [Upstream(fleet, f"i-{index}", "till", "z1", False, capacity=8, work=1.5)
                       for index in range(12)]
    fleet.store.write("keyed.op", "config", fleet.configuration(
        [("till", "/till/", "non_idempotent", "till")], [("till", False)]))
    await fleet.start(ZONES, 12)
    for number in range(45):
        fleet.spawn(traffic(fleet, standins.Client(fleet, number)))
    await asyncio.sleep(4)

    copy = fleet.store.copy()
    fleet.note("the copy is taken")
    await asyncio.sleep(8)
    if fleet.trouble:
        fleet.store.go_away()
        fleet.note("the store is away")
        await asyncio.sleep(1)
        fleet.store.come_back(copy)
        fleet.note("the store is back from the copy, era", fleet.store.era)
        for upstream in fleet.upstreams:
            upstream.report()
    else:
        await asyncio.sleep(1)
    await asyncio.sleep(STABLE_S)

    leavers = {upstream.name: upstream for upstream in fleet.upstreams[::4]}
    for leaver in leavers.values():
        if not leaver.unregister():
            raise standins.CannotRun("the store doesn't take the removal")
    acked = fleet.now()
    fleet.note("the entries of", *leavers, "are removed; acknowledged")
    await asyncio.sleep(SERVES_ON_S)
    for leaver in leavers.values():
        leaver.stop()
    fleet.note(*leavers, "exit")
    await asyncio.sleep(4)

    late = [(at - acked, identity) for identity, runs in fleet.ran.items()
            for at, name, _ in runs if name in leavers and at > acked + DRAIN_S]
    cut = [identity for _, identity in late if fleet.answers.get(identity, (0, None))[1] != 200]
    for line in fleet.event_lines(r"event=(server-|store-|request-failed)")[:300]:
        fleet.note("log", line)
    return [f"DRAIN: {len(late)} requests reached {', '.join(leavers)} {min(late)[0]:.1f} to "
            f"{max(late)[0]:.1f} s after the store had acknowledged that they are gone; "
            f"{len(cut)} of them got no 200"] if late else []


standins.main(case, HERE)
