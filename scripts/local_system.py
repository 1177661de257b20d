"""Starts and stops a whole system of real processes on loopback: stand-in platform, entries, agents and stand-in endpoints."""

import http.client
import json
import os
import signal
import subprocess
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
ZONES = ["giza", "shubra", "maadi"]
HOST = "127.0.0.1"


class Process:
    """One started process; ended only through its own handle."""

    def __init__(self, name, arguments, log_folder):
        self.name = name
        self.arguments = arguments
        self.log_path = os.path.join(log_folder, name + ".log")
        self.handle = None
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.handle = subprocess.Popen(self.arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def running(self):
        return self.handle.poll() is None

    def send(self, number):
        if self.running():
            self.handle.send_signal(number)

    def wait(self, seconds):
        try:
            return self.handle.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def stop(self, seconds=90):
        """Stops as planned; returns the exit code, or None when it had to be killed."""
        self.send(signal.SIGTERM)
        code = self.wait(seconds)
        if code is None:
            self.send(signal.SIGKILL)
            self.wait(10)
        return code


def request(port, method, path, body=None, timeout=60):
    """Makes one HTTP request; returns the status and the decoded document or text."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request(method, path, json.dumps(body) if body is not None else None)
        response = connection.getresponse()
        text = response.read().decode()
    finally:
        connection.close()
    try:
        return response.status, json.loads(text)
    except ValueError:
        return response.status, text


class System:
    """Platform, entries, agents and endpoints of one service."""

    def __init__(self, build, folder, base_port=21000, entries=3, endpoints=11, service="booking-desk", entry_flags=(),
                 agent_flags=(), endpoint_flags=None, extra_peers=None):
        self.build = build
        self.folder = folder
        self.base = base_port
        self.service = service
        self.entry_flags = list(entry_flags)
        self.agent_flags = list(agent_flags)
        self.endpoint_flags = endpoint_flags or {}
        self.entry_count = entries
        self.endpoint_count = endpoints
        self.platform_port = base_port
        self.entries = []
        self.agents = []
        self.endpoints = []
        self.platform = None
        os.makedirs(folder, exist_ok=True)

    def address(self, port):
        return f"{HOST}:{port}"

    def entry_port(self, index):
        return self.base + 10 + index

    def http_port(self, index):
        return self.base + 40 + index

    def admin_port(self, index):
        return self.base + 70 + index

    def agent_port(self, index):
        return self.base + 100 + index

    def agent_admin_port(self, index):
        return self.base + 300 + index

    def endpoint_port(self, index):
        return self.base + 500 + index

    def program(self, name):
        return os.path.join(self.build, name)

    def start_platform(self):
        self.platform = Process("platform", [self.program("standin-platform"), "--listen", self.address(self.platform_port)], self.folder)

    def entry_arguments(self, index):
        peers = ",".join(self.address(self.entry_port(other)) for other in range(self.entry_count) if other != index)
        return [self.program("medlarmill-entry"), "--name", f"entry-{index}", "--zone", ZONES[index % 3],
                "--listen", self.address(self.entry_port(index)), "--http-listen", self.address(self.http_port(index)),
                "--admin-listen", self.address(self.admin_port(index)), "--peers", peers,
                "--platform", self.address(self.platform_port), "--store-interval-ms", "500"] + self.entry_flags

    def agent_arguments(self, index):
        entries = ",".join(self.address(self.entry_port(other)) for other in range(self.entry_count))
        return [self.program("medlarmill-agent"), "--name", f"endpoint-{index}", "--service", self.service, "--zone", ZONES[index % 3],
                "--entries", entries, "--http-listen", self.address(self.agent_port(index)),
                "--admin-listen", self.address(self.agent_admin_port(index))] + self.agent_flags

    def endpoint_arguments(self, index):
        return [self.program("standin-endpoint"), "--name", f"endpoint-{index}", "--listen", self.address(self.endpoint_port(index)),
                "--agent", self.address(self.agent_port(index))] + self.endpoint_flags.get(index, [])

    def ctl(self, *arguments, stdin=None):
        """Runs medlarmillctl; returns the exit code and its output."""
        result = subprocess.run([self.program("medlarmillctl"), "--platform", self.address(self.platform_port), *arguments],
                                input=stdin, capture_output=True, text=True, timeout=120)
        return result.returncode, result.stdout + result.stderr

    def submit_config(self, document):
        code, output = self.ctl("submit", "-", stdin=json.dumps(document))
        if code != 0:
            raise RuntimeError(f"configuration not accepted: {output}")

    def start(self, config=None):
        self.start_platform()
        wait_until(lambda: request(self.platform_port, "GET", "/statistics", timeout=1)[0] == 200, 10, "platform")
        if config is not None:
            self.submit_config(config)
        for index in range(self.entry_count):
            self.entries.append(Process(f"entry-{index}", self.entry_arguments(index), self.folder))
        for index in range(self.endpoint_count):
            self.agents.append(Process(f"agent-{index}", self.agent_arguments(index), self.folder))
            self.endpoints.append(Process(f"endpoint-{index}", self.endpoint_arguments(index), self.folder))

    def wait_ready(self, seconds=30):
        """Waits until all entries are members and every endpoint is admitted everywhere."""
        def ready():
            for index in range(self.entry_count):
                status = request(self.http_port(index), "GET", "/v1/status", timeout=1)[1]
                up = [endpoint for endpoint in status["endpoints"] if endpoint["state"] == "up" and endpoint["slots"] > 0]
                if not status["ready"] or len(status["entries"]) != self.entry_count or len(up) != self.endpoint_count:
                    return False
            return all(request(self.agent_port(index), "GET", "/readyz", timeout=1)[0] == 200 for index in range(self.endpoint_count))
        wait_until(ready, seconds, "entries and endpoints ready")

    def journal(self):
        """Returns the starts of all endpoints as (submission, task) pairs."""
        starts = []
        for index in range(self.endpoint_count):
            _, text = request(self.endpoint_port(index), "GET", "/journal")
            starts.extend(tuple(line.split()) for line in str(text).splitlines())
        return starts

    def stop(self):
        """Stops everything in order; returns the names of processes that did not stop as planned."""
        bad = []
        for group in (self.agents, self.entries):
            for process in group:
                process.send(signal.SIGTERM)
            for process in group:
                if process.stop() != 0:
                    bad.append(process.name)
        for process in self.endpoints + [self.platform]:
            if process is not None:
                process.stop(10)
        return bad

    def kill(self):
        """Ends every process that was started here."""
        for process in self.entries + self.agents + self.endpoints + [self.platform]:
            if process is not None:
                process.send(signal.SIGCONT)
                process.send(signal.SIGKILL)
                process.wait(10)


def wait_until(condition, seconds, what):
    """Waits for a condition; raises with its name when it does not come true."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, ValueError, KeyError, TypeError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise TimeoutError(f"not within {seconds} s: {what}")
