#!/usr/bin/env python3
"""Measures the idle cost of one instance, with real processes that serve no callers.

Starts stand-ins and instances on loopback, waits until the log is quiet, and measures over a
window: CPU time, resident memory, and the payload bytes and segments of TCP connections by purpose.
Prints one table with linear fits, after the table of benchmark_capacity.
"""
import argparse
import json
import os
import re
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
DATA_CENTRES = ["centre-1", "centre-2", "centre-3", "centre-4", "centre-5"]
CONNECTION_KINDS = ["peer", "backend", "log", "list"]
SETTLE_TIMEOUT_SECONDS = 30
QUIET_SECONDS = 2
# (instances, backend servers per instance)
BY_INSTANCES = [(3, 1), (9, 1), (30, 1), (60, 1)]
BY_SERVERS = [(9, 1), (9, 2), (9, 4)]
DESIGN_INSTANCES = 1500
DESIGN_SERVERS = 4
BUDGET = {"processor": "2.2 %", "memory": "256 MB", "bytes": "4 KB/s, all kinds"}


def fetch(endpoint, path):
    with urllib.request.urlopen(f"http://{endpoint}{path}", timeout=5) as response:
        return response.read()


class Fleet:
    """The processes of one measurement. `close` kills them."""

    def __init__(self, build, instances, servers_per_instance, workers):
        self.tools = build / "tools"
        self.processes = []
        self.folder = tempfile.TemporaryDirectory()
        self.log = self.start_stand_in("log-standin")
        self.list = self.start_stand_in("instance-list-standin")
        self.backends = []
        for number in range(instances * servers_per_instance):
            endpoint = self.start_stand_in("backend-standin", "--name", f"server-{number}")
            self.backends.append(endpoint)
        self.instances = {}
        for number in range(instances):
            self.start_instance(number, workers)

    def start(self, *command):
        errors = open(Path(self.folder.name) / f"{len(self.processes)}.err", "w")
        process = subprocess.Popen([str(part) for part in command], stdout=subprocess.PIPE,
                                   stderr=errors, text=True)
        self.processes.append(process)
        return process, process.stdout.readline()

    def start_stand_in(self, program, *options):
        _, line = self.start(self.tools / program, "--listen", "127.0.0.1:0", *options)
        return re.search(r"listening=(\S+)", line).group(1)

    def start_instance(self, number, workers):
        path = Path(self.folder.name) / f"{number}.json"
        path.write_text(json.dumps({
            "instance": f"instance-{number}",
            "dataCentre": DATA_CENTRES[number % len(DATA_CENTRES)],
            "listen": {name: "127.0.0.1:0" for name in ("callers", "peers", "operators")},
            "logService": {"endpoint": self.log},
            "instanceList": self.list,
            "workers": workers}))
        process, line = self.start(self.tools / "amaranthdaled", "--settings", path)
        self.instances[process.pid] = dict(re.findall(r"(\w+)=(\S+)", line))

    def publish(self):
        servers = [{"name": f"server-{number}", "endpoint": endpoint,
                    "dataCentre": DATA_CENTRES[number % len(DATA_CENTRES)],
                    "requestSlots": 4, "coldSlots": 1, "checksFence": True}
                   for number, endpoint in enumerate(self.backends)]
        path = Path(self.folder.name) / "stockroom.json"
        path.write_text(json.dumps({"service": "stockroom", "key": {"header": "X-Key"},
                                    "servers": servers}))
        operators = next(iter(self.instances.values()))["operators"]
        subprocess.run([str(self.tools / "amaranthdalectl"), "apply", str(path), "--instance",
                        operators, "--log", self.log], stdout=subprocess.DEVNULL, timeout=60)

    def next_offset(self):
        page = fetch(self.log, "/streams/amaranthdale/records?from=1&max=1")
        return json.loads(page)["next"]

    def wait_until_quiet(self):
        """Waits until the log gets no records for QUIET_SECONDS; returns False on timeout."""
        end = time.monotonic() + SETTLE_TIMEOUT_SECONDS
        last, since = self.next_offset(), time.monotonic()
        while time.monotonic() < end:
            time.sleep(0.2)
            offset = self.next_offset()
            if offset != last:
                last, since = offset, time.monotonic()
            elif time.monotonic() - since >= QUIET_SECONDS:
                return True
        return False

    def close(self):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
            process.stdout.close()
        self.folder.cleanup()

    def traffic(self):
        """Payload bytes and data segments so far of each connection of an instance."""
        ports = {self.log: "log", self.list: "list"}
        ports.update({endpoint: "backend" for endpoint in self.backends})
        ports.update({ends["peers"]: "peer" for ends in self.instances.values()})
        lines = subprocess.run(["ss", "-tinpOH", "state", "established"], capture_output=True,
                               text=True, check=True).stdout.splitlines()
        found = {}
        for line in lines:
            owner = re.search(r"pid=(\d+)", line)
            if not owner or int(owner.group(1)) not in self.instances:
                continue
            local, remote = re.findall(r"127\.0\.0\.1:\d+", line)[:2]
            kind = ports.get(remote) or ports.get(local)
            if kind:
                found[local, remote] = (kind, *(
                    int(match.group(1)) if (match := re.search(rf"\b{field}:(\d+)", line)) else 0
                    for field in ("bytes_sent", "bytes_received", "data_segs_out")))
        return found

    def cpu_seconds(self):
        total = 0
        for pid in self.instances:
            fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
            total += int(fields[11]) + int(fields[12])
        return total / TICKS_PER_SECOND

    def memory_megabytes(self):
        total = 0
        for pid in self.instances:
            status = Path(f"/proc/{pid}/status").read_text()
            total += int(re.search(r"VmRSS:\s+(\d+)", status).group(1))
        return total / 1024


def measure(build, instances, servers, window, workers):
    fleet = Fleet(build, instances, servers, workers)
    try:
        fleet.publish()
        settled = fleet.wait_until_quiet()
        appends_to_settle = fleet.next_offset() - 1
        offset, traffic = fleet.next_offset(), fleet.traffic()
        processor, begin = fleet.cpu_seconds(), time.monotonic()
        time.sleep(window)
        elapsed = time.monotonic() - begin
        processor = fleet.cpu_seconds() - processor
        later = fleet.traffic()
        instance_seconds = elapsed * instances
        figures = {"processor time (% of a core)": 100 * processor / instance_seconds,
                   "resident memory (MB)": fleet.memory_megabytes() / instances,
                   "log appends per s, all instances": (fleet.next_offset() - offset) / elapsed,
                   "log appends until settled, all instances": appends_to_settle}
        for kind in CONNECTION_KINDS:
            sums = [0, 0, 0]
            for connection, (name, *counts) in later.items():
                before = traffic.get(connection, (kind, 0, 0, 0))[1:]
                if name == kind:
                    sums = [total + now - then
                            for total, now, then in zip(sums, counts, before)]
            figures[f"{kind} bytes sent per s"] = sums[0] / instance_seconds
            figures[f"{kind} bytes received per s"] = sums[1] / instance_seconds
            figures[f"{kind} segments sent per s"] = sums[2] / instance_seconds
        figures["all bytes per s"] = sum(value for name, value in figures.items()
                                         if "bytes" in name)
        dead = sum(process.poll() is not None for process in fleet.processes)
        note = "" if settled else " NOT SETTLED"
        note += f" {dead} PROCESSES ENDED" if dead else ""
        print(f"# instances={instances} servers={servers * instances} window_s={elapsed:.1f} "
              f"processes={len(fleet.processes)} load_average={os.getloadavg()[0]:.1f}{note}",
              file=sys.stderr, flush=True)
        return figures
    finally:
        fleet.close()


def fit(points):
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variance_sum = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / variance_sum
    return mean_y - slope * mean_x, slope


def budget_of(name):
    for word, budget in BUDGET.items():
        if word in name:
            return budget
    return "several hundred/s" if "appends per s" in name else "-"


def print_table(title, sizes, results, design):
    for name in results[sizes[0]]:
        points = [(size, results[size][name]) for size in sizes]
        fixed, slope = fit(points)
        measured = " ".join(f"{size}:{value:.4g}" for size, value in points)
        print(f"{name} by {title} | {measured} | {fixed:.4g} + {slope:.4g} n | "
              f"n={design}: {fixed + slope * design:.4g} | {budget_of(name)}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=Path, default=Path("build"))
    parser.add_argument("--window", type=float, default=10, help="seconds of each measurement")
    parser.add_argument("--workers", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="at most 9 instances")
    parser.add_argument("--skip-in-process", action="store_true")
    options = parser.parse_args()
    print(f"# load_average={os.getloadavg()[0]:.1f} cores={os.cpu_count()}", flush=True)
    if not options.skip_in_process:
        subprocess.run([str(options.build / "benchmarks" / "benchmark_capacity")], check=True)
    largest = 9 if options.quick else max(count for count, _ in BY_INSTANCES)
    wanted = [case for case in dict.fromkeys(BY_INSTANCES + BY_SERVERS) if case[0] <= largest]
    results = {case: measure(options.build, *case, options.window, options.workers)
               for case in wanted}
    print("per instance at rest | measured (size:value) | linear fit | at the design size | budget")
    by_instances = [case for case in BY_INSTANCES if case in results]
    print_table("instances, 1 server each", [size for size, _ in by_instances],
                {case[0]: results[case] for case in by_instances}, DESIGN_INSTANCES)
    print_table("servers per instance, 9 instances", [size for _, size in BY_SERVERS],
                {case[1]: results[case] for case in BY_SERVERS}, DESIGN_SERVERS)


if __name__ == "__main__":
    main()
