"""Runs the processes of one deployment on loopback addresses, for benchmarks."""

import http.client
import json
import os
import signal
import subprocess
import tempfile
import time
from pathlib import Path

START_TIMEOUT = 20.0  # Seconds for a process to print its address, or an instance to be ready.
ASSIGNMENT_TIMEOUT = 60.0  # Seconds for all slots to have an owner.
STOP_TIMEOUT = 5.0  # Seconds for a process to end after SIGTERM.


def call(endpoint, method, target, body=None, timeout=5.0):
    """Sends one request on a new connection; returns (status, headers, text)."""
    connection = http.client.HTTPConnection(endpoint, timeout=timeout)
    try:
        connection.request(method, target, body)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    finally:
        connection.close()


def wait_until(condition, timeout, description):
    """Polls `condition` every 50 ms; raises RuntimeError after `timeout` seconds."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError(f"timed out after {timeout:g} s: {description}")


class Program:
    """A child process and the `name=value` addresses in the first lines of its output."""

    def __init__(self, command, log_file, address_lines=1):
        with open(log_file, "ab") as log:
            self.process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log, text=True)
        self.command = command
        self.addresses = {}
        for _ in range(address_lines):
            line = self.process.stdout.readline()
            if not line:
                raise RuntimeError(f"{command[0]} exited at startup; see {log_file}")
            self.addresses.update(part.split("=", 1) for part in line.split())

    @property
    def pid(self):
        return self.process.pid

    def cpu_seconds(self):
        """User and system CPU time of the process so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def stop(self):
        if self.process.poll() is None:
            self.process.terminate()

    def wait(self):
        try:
            self.process.wait(STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.kill()


class Cluster:
    """Log service, instance list, instances and backend servers, as a context manager."""

    def __init__(self, build):
        self.tools = Path(build) / "tools"
        self.directory = Path(tempfile.mkdtemp(prefix="amaranthdale-"))
        self.programs = []
        self.instances = {}
        self.instance_data_centres = {}
        self.backends = {}
        self.documents = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for program in self.programs:
            program.stop()
        for program in self.programs:
            program.wait()

    def start(self, tool, options, address_lines=1):
        command = [str(self.tools / tool), *map(str, options)]
        program = Program(command, self.directory / f"{tool}.log", address_lines)
        self.programs.append(program)
        return program

    def start_platform(self):
        """Starts the log service and the instance list, which instances depend on."""
        self.log = self.start("log-standin", [])
        self.list = self.start("instance-list-standin", ["--lag", "1s"])

    def start_instance(self, name, data_centre, workers):
        settings = {
            "instance": name,
            "dataCentre": data_centre,
            "listen": {port: "127.0.0.1:0" for port in ("callers", "peers", "operators")},
            "logService": {"endpoint": self.log.addresses["listening"]},
            "instanceList": self.list.addresses["listening"],
            "workers": workers,
            "logLevel": "warning",
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.instances[name] = self.start("amaranthdaled", ["--settings", path])
        self.instance_data_centres[name] = data_centre

    def restart_instance(self, name):
        self.instances[name] = self.start("amaranthdaled",
                                          ["--settings", self.directory / f"{name}.json"])

    def start_backend(self, name, service, options, listen="127.0.0.1:0"):
        history = self.directory / f"{name}.history"
        self.backends[name] = self.start(
            "backend-standin",
            ["--name", name, "--service", service, "--listen", listen, "--history", history,
             *options])

    def restart_backend(self, name):
        old = self.backends[name]
        command = list(old.command)
        command[command.index("--listen") + 1] = old.addresses["listening"]
        self.backends[name] = self.start("backend-standin", command[1:])

    def caller_endpoint(self, name):
        return self.instances[name].addresses["callers"]

    def operator_endpoint(self, name):
        return self.instances[name].addresses["operators"]

    def live_instances(self):
        return [name for name, program in self.instances.items() if program.process.poll() is None]

    def is_ready(self, name):
        try:
            return call(self.operator_endpoint(name), "GET", "/readyz")[0] == 200
        except OSError:
            return False

    def state(self):
        operators = self.operator_endpoint(self.live_instances()[0])
        return json.loads(call(operators, "GET", "/state")[2])

    def owners(self, service):
        """Returns the server of each slot, or an empty name for a slot without an owner."""
        owners = []
        for entry in self.state()["services"]:
            if entry["document"]["service"] == service:
                for slot_range in entry["slots"]:
                    owners += [slot_range.get("server", "")] * slot_range["count"]
        return owners

    def controller_of(self, server):
        for entry in self.state()["servers"]:
            if entry["spec"]["name"] == server and "controller" in entry:
                return entry["controller"]["instance"]["name"]
        return None

    def run_ctl(self, *arguments):
        """Runs amaranthdalectl against the first live instance."""
        command = [str(self.tools / "amaranthdalectl"), *map(str, arguments), "--instance",
                   self.operator_endpoint(self.live_instances()[0]),
                   "--log", self.log.addresses["listening"]]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60)
        if result.returncode != 0:
            raise RuntimeError(f"amaranthdalectl {arguments[0]}: {result.stdout}{result.stderr}")

    def publish(self, document):
        service = document["service"]
        path = self.directory / f"{service}.json"
        path.write_text(json.dumps(document))
        self.documents[service] = document
        self.run_ctl("apply", path)

    def wait_ready(self):
        for name in self.live_instances():
            wait_until(lambda name=name: self.is_ready(name), START_TIMEOUT, f"{name} ready")

    def wait_owned(self, service):
        def owned():
            owners = self.owners(service)
            return bool(owners) and all(owners)
        wait_until(owned, ASSIGNMENT_TIMEOUT, f"all slots of {service} owned")

    def load(self, targets, options):
        """Runs load-tool; returns its summary, with latencies in ms and the CPU time it used."""
        command = [str(self.tools / "load-tool"), "--json", "--instance", ",".join(targets),
                   *map(str, options)]
        before = os.times()
        result = subprocess.run(command, capture_output=True, text=True, timeout=120)
        after = os.times()
        lines = result.stdout.strip().splitlines()
        if not lines:
            raise RuntimeError(f"load-tool: {result.stderr}")
        summary = json.loads(lines[-1])
        for name in ("p50", "p99", "max"):
            summary[name] = milliseconds(summary[name])
        summary["processorSeconds"] = (after.children_user + after.children_system
                                       - before.children_user - before.children_system)
        return summary

    def events(self, name, kind):
        """Returns the events of one kind from the history of a backend server or a load run."""
        found = []
        with open(self.directory / f"{name}.history", encoding="utf-8") as lines:
            for line in lines:
                if f'"kind":"{kind}"' in line and line.endswith("\n"):
                    found.append(json.loads(line))
        return found


def milliseconds(text):
    """Converts a duration such as "1250us" to milliseconds."""
    units = {"ns": 1e-6, "us": 1e-3, "ms": 1.0, "min": 60e3, "s": 1e3, "h": 3600e3}
    for unit, factor in units.items():
        if text.endswith(unit):
            return float(text[:-len(unit)]) * factor
    raise ValueError(f"invalid duration: {text!r}")


def load_average():
    return f"{os.getloadavg()[0]:.1f}"


def commit():
    result = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True,
                            text=True, cwd=Path(__file__).parent)
    return result.stdout.strip()
