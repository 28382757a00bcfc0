"""The store comes back from a copy some seconds old, and the operator changes the configuration."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
import fleet as standins  # noqa: E402

ZONES = ["z1", "z2", "z3"]
# Requests are judged from here on after the acknowledgement of the change: contactMs after the store's
# return (the change comes 1 s after it), and then configMs and maxStretchMs.
CONFIG_S = 3.0 + 2.0 + 5.0
WATCH_S = 40  # How long after the acknowledgement requests are watched.


async def traffic(fleet, client):
    while True:
        await client.send("GET", random.choice(("/keep/x", "/old/x", "/new/x")), deadline=1000)
        await asyncio.sleep(0.1)


async def case(fleet):
    fleet.upstreams = [standins.Upstream(fleet, f"i-{index}", "till", ZONES[index % 3], False)
                       for index in range(6)]
    services = [("till", False)]
    keep = ("keep", "/keep/", "idempotent", "till")
    first = fleet.configuration([keep, ("old", "/old/", "idempotent", "till")], services)
    fleet.store.write("keyed.op", "config", first)
    await fleet.start(ZONES, 2)
    for number in range(12):
        fleet.spawn(traffic(fleet, standins.Client(fleet, number)))
    await asyncio.sleep(4)

    copy = fleet.store.copy()
    fleet.note("the copy is taken")
    await asyncio.sleep(0.5)
    fleet.store.write("keyed.op", "evacuate/z3", b"{}")
    fleet.note("operator: z3 is evacuated")
    await asyncio.sleep(4.5)
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
    await asyncio.sleep(1)

    fleet.version += 1
    second = fleet.configuration([keep, ("new", "/new/", "idempotent", "till")], services)
    if not fleet.store.write("keyed.op", "config", second):
        raise standins.CannotRun("the store doesn't take the change")
    acked = fleet.now()
    fleet.note("operator: version", fleet.version, "drops /old/ and adds /new/; acknowledged")
    await asyncio.sleep(1)
    # What the operator wrote since the copy was taken is written again, all of it.
    fleet.store.write("keyed.op", "evacuate/z3", b"{}")
    fleet.note("operator: z3 is evacuated, written again")
    await asyncio.sleep(1)
    fleet.store.write("keyed.op", "evacuate/z3", None)
    fleet.note("operator: z3 is taken back")
    await asyncio.sleep(WATCH_S)

    late = {"run on the dropped route": [], "refused with 404 on the new route": []}
    for identity, (at, edge, _, path, _) in fleet.sent.items():
        if at < acked + CONFIG_S:
            continue
        if path == "/old/x" and identity in fleet.ran:
            late["run on the dropped route"].append((at, edge))
        if path == "/new/x" and fleet.answers.get(identity, (0, None))[1] == 404:
            late["refused with 404 on the new route"].append((at, edge))
    for line in fleet.event_lines(r"event=(configuration-in-force|data-centre|store-)")[:400]:
        fleet.note("log", line)
    return [f"CONFIG: {len(found)} requests {what}, sent {found[0][0] - acked:.1f} to "
            f"{found[-1][0] - acked:.1f} s after the acknowledgement, by "
            f"{len({edge for _, edge in found})} of {len(fleet.edges)} machines"
            for what, found in late.items() if found]


standins.main(case, HERE)
