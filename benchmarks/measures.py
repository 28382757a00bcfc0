#!/usr/bin/env python3
"""Measures of section 1.1 of docs/design.md, with real processes of one or both deployments.

Prints one table: load imbalance, slot moves, unavailable time, service while a data centre is
drained and returned, and tail latency with one slowed backend server. `--quick` skips the
measurements that kill processes.
"""

import argparse
import threading
import time

import cluster as system

WARM_UP = "6s"  # Longer than the cold start of a server: requestSlots - 1 steps of 1 s each.
PROBE_INTERVAL = 0.005  # Seconds between probes, which is the resolution of unavailable times.
PROBE_TIMEOUT = 1.0
# Seconds for slot moves to end after a change: the limit in section 1.2 of docs/design.md.
SETTLE_TIME = 3.0
RECOVERY_TIMEOUT = 15.0
INSTANCES_PER_CENTRE = 3
SLOW_FACTOR = 10

DEPLOYMENTS = {
    "inkweto": {
        "centres": ("nyarugenge", "gasabo", "kicukiro"),
        "services": {"stockroom": 12, "till": 10, "ledgers": 6, "loyalty": 6},
        "keyed": "stockroom", "unkeyed": "loyalty",
        "slots": 4, "connections": 100, "service_time": "3ms", "caller_delay": "1ms",
    },
    "pendulo": {
        "centres": ("sul-poa", "sul-cwb", "sul-fln"),
        "services": {"agenda": 14, "reservas": 7, "acervo": 6, "tabela": 6},
        "keyed": "agenda", "unkeyed": "reservas",
        "slots": 6, "connections": 60, "service_time": "3ms", "caller_delay": "8ms",
    },
}


class Prober:
    """Requests one key repeatedly from its own thread and records the time of each success."""

    def __init__(self, endpoint, service, key):
        self.endpoint, self.service, self.key = endpoint, service, key
        self.successes = []
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        connection = system.http.client.HTTPConnection(self.endpoint, timeout=PROBE_TIMEOUT)
        while not self.ended.is_set():
            try:
                connection.request("GET", f"/{self.service}/probe", headers={"X-Key": self.key})
                response = connection.getresponse()
                response.read()
                if response.status == 200:
                    self.successes.append(time.monotonic())
            except (OSError, system.http.client.HTTPException):
                connection.close()
            self.ended.wait(PROBE_INTERVAL)

    def longest_gap(self, since):
        """Longest time without a success in ms, from 0.5 s before `since` to now.

        It counts from the first success in that span.
        """
        times = [each for each in self.successes if each >= since - 0.5] + [time.monotonic()]
        return 1000 * max((b - a for a, b in zip(times, times[1:])), default=0.0)

    def stop(self):
        self.ended.set()
        self.thread.join()


class Measurement:
    """Measures one running deployment and prints the rows of its table."""

    def __init__(self, cluster, name, arguments):
        self.cluster, self.name, self.arguments = cluster, name, arguments
        self.deployment = DEPLOYMENTS[name]
        self.keyed = self.deployment["keyed"]
        self.proxies = {}

    def row(self, measure, value):
        print(f"| {self.name} | {measure} | {value} | {self.arguments.rate:g}/s | "
              f"{self.arguments.seed} | {self.arguments.variant} | {system.load_average()} |",
              flush=True)

    def start(self):
        self.cluster.start_platform()
        centres = self.deployment["centres"]
        for index in range(INSTANCES_PER_CENTRE * len(centres)):
            self.cluster.start_instance(f"i{index}", centres[index % len(centres)], 2)
        documents = [self.start_service(*each) for each in self.deployment["services"].items()]
        self.cluster.wait_ready()
        for document in documents:
            self.cluster.publish(document)
        for service in self.deployment["services"]:
            self.cluster.wait_owned(service)
        for name in self.cluster.instances:
            self.start_proxy(name)

    def start_service(self, service, count):
        servers = []
        slots = self.deployment["slots"]
        for index in range(count):
            name = f"{service}-{index}"
            self.cluster.start_backend(name, service, [
                "--request-slots", slots, "--cold-slots", 1, "--warm-up", f"{slots - 1}s",
                "--service-time", self.deployment["service_time"], "--threads", 1,
                "--seed", self.arguments.seed + index])
            servers.append({
                "name": name, "dataCentre": self.centre_of(name),
                "endpoint": self.cluster.backends[name].addresses["listening"],
                "requestSlots": slots, "coldSlots": 1, "checksFence": True,
                "maxConnections": self.deployment["connections"]})
        document = {"service": service, "brand": {"header": "X-Brand"}, "servers": servers}
        if service == self.keyed:
            document["key"] = {"header": "X-Key"}
        return document

    def start_proxy(self, name):
        """Starts a proxy that adds the latency between callers and instances to one instance."""
        proxy = self.cluster.start("fault-proxy", ["--target", self.cluster.caller_endpoint(name),
                                                   "--threads", 1], address_lines=2)
        system.call(proxy.addresses["control"], "PUT", "/control",
                    system.json.dumps({"delay": self.deployment["caller_delay"]}))
        self.proxies[name] = proxy

    def centre_of(self, server):
        centres = self.deployment["centres"]
        return centres[int(server.rsplit("-", 1)[1]) % len(centres)]

    def targets(self, without_centre=None):
        return [self.proxies[name].addresses["listening"] for name in self.cluster.live_instances()
                if self.cluster.instance_data_centres[name] != without_centre]

    def load(self, service, length, history=None, without_centre=None):
        options = ["--service", service, "--rate", self.arguments.rate, "--length", length,
                   "--non-idempotent", 0, "--zipf", self.arguments.zipf, "--connections", 64,
                   "--brands", "a,b,c,d", "--seed", self.arguments.seed]
        if history:
            options += ["--history", self.cluster.directory / f"{history}.history"]
        return self.cluster.load(self.targets(without_centre), options)

    def servers_of(self, service):
        return [f"{service}-{index}" for index in range(self.deployment["services"][service])]

    def imbalance(self):
        self.load(self.keyed, WARM_UP)
        begin = time.time() * 1e6
        result = self.load(self.keyed, "6s")
        counts = [sum(1 for event in self.cluster.events(server, "run") if event["at"] >= begin)
                  for server in self.servers_of(self.keyed)]
        mean = sum(counts) / len(counts)
        ratio = max(counts) / mean if mean else 0.0
        self.row(f"imbalance, {self.keyed}, Zipf {self.arguments.zipf:g}",
                 f"highest/mean {ratio:.2f}, {format_result(result)}")

    def tail_latency(self):
        service = self.deployment["unkeyed"]
        self.load(service, WARM_UP)
        fast = self.load(service, "6s")
        server = self.cluster.backends[f"{service}-0"].addresses["listening"]
        system.call(server, "PUT", "/control", f'{{"slowFactor":{SLOW_FACTOR}}}')
        slow = self.load(service, "6s")
        system.call(server, "PUT", "/control", '{"slowFactor":1}')
        count = self.deployment["services"][service]
        self.row(f"latency, {service}, none slowed", format_result(fast))
        self.row(f"latency, {service}, 1 of {count} slowed {SLOW_FACTOR}x", format_result(slow))
        self.row("p99 slowed / not slowed", f"{slow['p99'] / max(0.001, fast['p99']):.2f}")

    def data_centre(self):
        centre = self.deployment["centres"][1]
        before = self.cluster.owners(self.keyed)
        drained_at = self.change("drain-data-centre", centre)
        drained = self.cluster.owners(self.keyed)
        events = self.count_starts(centre, drained_at + SETTLE_TIME)
        lost = [slot for slot, owner in enumerate(before) if self.centre_of(owner) == centre]
        unnecessary = count_moved(before, drained) - sum(before[s] != drained[s] for s in lost)
        self.row(f"drain of {centre}", f"starts there later than {SETTLE_TIME:g} s: {events}; "
                 f"slots moved {count_moved(before, drained)}, unnecessary {unnecessary}")
        self.change("return-data-centre", centre)
        after = self.cluster.owners(self.keyed)
        gained = sum(a != b and self.centre_of(b) == centre for a, b in zip(drained, after))
        self.row(f"return of {centre}", f"slots moved {count_moved(drained, after)}, of these to "
                 f"other data centres {count_moved(drained, after) - gained}")

    def change(self, verb, centre):
        """Runs an operator command 1 s into a load run; returns the time when it completed."""
        results = []
        thread = threading.Thread(
            target=lambda: results.append(self.load(self.keyed, "9s", without_centre=centre)))
        thread.start()
        time.sleep(1)
        self.cluster.run_ctl(verb, centre)
        changed_at = time.time()
        thread.join()
        self.row(f"service during {verb}",
                 format_result(results[0]) if results else "load-tool failed")
        return changed_at

    def count_starts(self, centre, since):
        return sum(event["at"] > since * 1e6 for server in self.servers_of(self.keyed)
                   if self.centre_of(server) == centre
                   for event in self.cluster.events(server, "run"))

    def loss(self, with_controller, with_server):
        server = f"{self.keyed}-0"
        controller = self.cluster.controller_of(server)
        before = self.cluster.owners(self.keyed)
        key = self.find_key_owned_by(server)
        entry = next(name for name in self.cluster.live_instances() if name != controller)
        prober = Prober(self.cluster.caller_endpoint(entry), self.keyed, key)
        time.sleep(1)
        lost_at = time.monotonic()
        if with_controller:
            self.cluster.instances[controller].kill()
        if with_server:
            self.cluster.backends[server].kill()
        time.sleep(SETTLE_TIME)
        recovered = bool(prober.successes) and prober.successes[-1] > time.monotonic() - 0.5
        gap = prober.longest_gap(lost_at)
        prober.stop()
        after = self.cluster.owners(self.keyed)
        owned_by_lost = sum(owner == server for owner in before) if with_server else 0
        lost = " and ".join(["controller"] * with_controller + ["backend server"] * with_server)
        self.row(f"loss of {lost}",
                 f"unavailable {gap:.0f} ms{'' if recovered else ', not served again'}; slots "
                 f"moved {count_moved(before, after)}, needed {owned_by_lost}")
        self.replace(controller if with_controller else None, server if with_server else None)

    def find_key_owned_by(self, server):
        for number in range(10_000):
            key = f"probe-{number}"
            target = f"/explain?service={self.keyed}&key={key}"
            operators = self.cluster.operator_endpoint(self.cluster.live_instances()[0])
            text = system.call(operators, "GET", target)[2]
            if system.json.loads(text).get("server") == server:
                return key
        raise RuntimeError(f"no key of {server}")

    def replace(self, instance, server):
        """Restarts the killed processes, and waits until the server owns slots again."""
        if instance:
            self.cluster.restart_instance(instance)
            self.start_proxy(instance)
        if server:
            self.cluster.restart_backend(server)
        self.cluster.wait_ready()
        try:
            system.wait_until(lambda: f"{self.keyed}-0" in self.cluster.owners(self.keyed),
                              RECOVERY_TIMEOUT, "slots of the returned backend server")
            time.sleep(SETTLE_TIME)
        except RuntimeError as error:
            self.row("after the loss", str(error))


def count_moved(before, after):
    return sum(a != b for a, b in zip(before, after))


def format_result(result):
    return (f"p50 {result['p50']:.1f} ms, p99 {result['p99']:.1f} ms, answered "
            f"{result['answered']}, not run {result['notRun']}, unknown {result['unknown']}")


def measure(name, arguments):
    with system.Cluster(arguments.build) as cluster:
        measurement = Measurement(cluster, name, arguments)
        measurement.start()
        steps = [measurement.imbalance, measurement.tail_latency, measurement.data_centre]
        if not arguments.quick:
            steps += [lambda: measurement.loss(True, False), lambda: measurement.loss(False, True),
                      lambda: measurement.loss(True, True)]
        for step in steps:
            try:
                step()
            except (RuntimeError, OSError) as error:
                measurement.row("failed step", str(error).replace("\n", " "))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--deployment", choices=[*DEPLOYMENTS, "all"], default="all")
    parser.add_argument("--rate", type=float, default=500)
    parser.add_argument("--zipf", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--variant", default="default", help="label of the build under test")
    parser.add_argument("--quick", action="store_true",
                        help="skip the measurements that kill processes")
    arguments = parser.parse_args()
    print(f"commit={system.commit()}; the load average includes other processes")
    print("| deployment | measure | result | load | seed | variant | load average |")
    print("|---|---|---|---|---|---|---|")
    for name in DEPLOYMENTS if arguments.deployment == "all" else [arguments.deployment]:
        measure(name, arguments)


if __name__ == "__main__":
    main()
