#!/usr/bin/env python3
"""Compares the throughput of one entry instance with 4 workers to that of a backend server alone.

All backend servers are in the entry instance's data centre, so that it controls none of them and
every request passes through a controller in another data centre.
"""

import argparse

import cluster as system

ENTRY_CENTRE = "gasabo"
CONTROLLER_CENTRES = ("nyarugenge", "kicukiro")
ENTRY_WORKERS = 4
BACKEND_SERVERS = 6
REQUEST_SLOTS = 64
COLD_SLOTS = 32
SERVICE = "stockroom"
BACKEND_OPTIONS = ["--request-slots", REQUEST_SLOTS, "--cold-slots", COLD_SLOTS, "--warm-up", "1ms",
                   "--service-time", "100us", "--response-bytes", 1024, "--threads", 1]


def start_direct(cluster):
    """Starts a server that is in no service document and accepts requests without a fence."""
    cluster.start_backend("direct", SERVICE, BACKEND_OPTIONS + ["--no-fence-check"])


def start_system(cluster):
    cluster.start_platform()
    cluster.start_instance("entry", ENTRY_CENTRE, ENTRY_WORKERS)
    for index, centre in enumerate(CONTROLLER_CENTRES * 2):
        cluster.start_instance(f"controller-{index}", centre, 2)
    servers = []
    for index in range(BACKEND_SERVERS):
        name = f"stock-{index}"
        cluster.start_backend(name, SERVICE, BACKEND_OPTIONS)
        servers.append({"name": name, "dataCentre": ENTRY_CENTRE,
                        "endpoint": cluster.backends[name].addresses["listening"],
                        "requestSlots": REQUEST_SLOTS, "coldSlots": COLD_SLOTS,
                        "checksFence": True})
    cluster.wait_ready()
    cluster.publish({"service": SERVICE, "key": {"header": "X-Key"}, "servers": servers})
    cluster.wait_owned(SERVICE)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--length", default="5s")
    parser.add_argument("--rate", type=float, default=0, help="0: closed loop")
    parser.add_argument("--concurrency", type=int, default=64)
    parser.add_argument("--warm-up", default="8s")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--direct-only", action="store_true",
                        help="measure load-tool and backend-standin alone")
    arguments = parser.parse_args()
    options = ["--service", SERVICE, "--non-idempotent", 0, "--zipf", 0, "--seed", arguments.seed,
               "--concurrency", arguments.concurrency, "--connections", arguments.concurrency,
               "--threads", 2, "--rate", arguments.rate]
    print(f"commit={system.commit()} seed={arguments.seed} rate={arguments.rate:g} "
          f"concurrency={arguments.concurrency}; the load average includes other processes")
    print("| path | requests/s | not run | p50 ms | p99 ms | target CPU us/request | load-tool CPU us/request | load average |")
    print("|---|---|---|---|---|---|---|---|")
    with system.Cluster(arguments.build) as cluster:
        start_direct(cluster)
        direct = cluster.backends["direct"]
        paths = [("direct", direct, direct.addresses["listening"], ["--direct"])]
        if not arguments.direct_only:
            start_system(cluster)
            entry = cluster.caller_endpoint("entry")
            paths.append(("entry", cluster.instances["entry"], entry, []))
            cluster.load([entry], options + ["--length", arguments.warm_up])
        for _ in range(arguments.rounds):
            for path, program, target, extra_options in paths:
                before = program.cpu_seconds()
                result = cluster.load(
                    [target], options + ["--length", arguments.length] + extra_options)
                cpu_used = program.cpu_seconds() - before
                target_cpu = 1e6 * cpu_used / max(1, result["answered"])
                load_tool_cpu = 1e6 * result["processorSeconds"] / max(1, result["answered"])
                print(f"| {path} | {result['perSecond']:.0f} | {result['notRun']} | "
                      f"{result['p50']:.2f} | {result['p99']:.2f} | {target_cpu:.0f} | "
                      f"{load_tool_cpu:.0f} | {system.load_average()} |", flush=True)


if __name__ == "__main__":
    main()
