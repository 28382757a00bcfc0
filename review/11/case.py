"""The store comes back from a copy some seconds old; afterwards the machines are restarted one by one."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
import fleet as standins  # noqa: E402

ZONES = ["z1", "z2", "z3"]


async def traffic(fleet, client):
    while True:
        key = random.choice((random.randrange(65536), random.randrange(8192)))
        await client.send("GET", "/read/x", key=key)
        await asyncio.sleep(0.06)


async def case(fleet):
    fleet.upstreams = [standins.Upstream(fleet, f"i-{index}", "stock", ZONES[index % 3], True)
                       for index in range(8)]
    config = fleet.configuration([("read", "/read/", "idempotent", "stock")], [("stock", True)])
    fleet.store.write("keyed.op", "config", config)
    await fleet.start(ZONES, 2)
    for number in range(12):
        fleet.spawn(traffic(fleet, standins.Client(fleet, number)))
    await asyncio.sleep(8)

    copy = fleet.store.copy()
    fleet.note("the copy is taken")
    await asyncio.sleep(0.5)
    for index in (8, 9):  # Empty upstreams are added.
        added = standins.Upstream(fleet, f"i-{index}", "stock", ZONES[index % 3], True)
        fleet.upstreams.append(added)
        await added.start()
    await asyncio.sleep(4.5)
    if not any(u.held(asyncio.get_running_loop().time()) for u in fleet.upstreams[8:]):
        raise standins.CannotRun("no keys moved to the new upstreams")

    if fleet.trouble:
        fleet.store.go_away()
        fleet.note("the store is away")
        await asyncio.sleep(1)
        fleet.store.come_back(copy)
        fleet.note("the store is back from the copy, era", fleet.store.era)
        fleet.store.write("keyed.op", "config", config)
        for upstream in fleet.upstreams:
            upstream.report()
    else:
        await asyncio.sleep(1)
    await asyncio.sleep(5)

    # The machines are stopped and started in turn.
    for edge in fleet.edges:
        await edge.restart(fleet.bounds["graceS"])
        await asyncio.sleep(2)
    await asyncio.sleep(5)
    for line in fleet.event_lines(r"event=(granter-|assignment-appended|takeover-|store-)"):
        fleet.note("log", line)
    return [f"OWNER: {at:.3f} {text}" for at, text in fleet.owners.broken]


standins.main(case, HERE)
