"""The real programs, their settings and callers behind a stand-in of the users' platform."""

import http.client
import json
import os
import pathlib
import random
import subprocess
import threading
import time

from platform_standin import Endpoint, Oracle, Table, TableListener

ENTRIES = 3
AGENTS = 4
ZONES = "abc"
CPU = 15000
RESUBMIT_S = 1.3
PATIENCE_MS = 2000
NETWORK = os.environ.get("MEDLARMILL_TEST_NETWORK", "127.0.0")  # Loopback network of all addresses; two systems at one time need two.
TABLE = (f"{NETWORK}.99", 18169)
TABLE_NETWORK = NETWORK.replace("127.0.", "127.1.", 1)  # Each machine has an address of the table of its own there.


def config(version, routes):
    return {"version": version, "services": [{"name": "desk"}], "limits": {"max_body_bytes": 262144},
            "routes": [{"name": f"r{name}", "host": "desk.example", "path_prefix": f"/{name}/", "kind": "non_idempotent", "timeout_ms": 1500,
                        "target_latency_ms": 60, "priority": 0, "service": "desk", "max_attempts": 3, "slack_factor": 1.6} for name in routes]}


class System:
    """The programs, their settings, the table and the endpoints."""

    def __init__(self, build, folder, through=None, entries=ENTRIES, agents=AGENTS, settings=()):
        """@param through makes a proxy of a listening and a target address; calls to endpoints then go through one each.
        @param settings further lines of every settings file."""
        self.entries = entries
        self.agents = agents
        self.settings = list(settings)
        self.build = pathlib.Path(build).resolve()
        self.folder = pathlib.Path(folder)
        self.oracle = Oracle()
        self.table = Table(*TABLE)
        self.table.put("op", "config", json.dumps(config(3, ["check"])).encode())
        self.processes = {}
        self.endpoints = {}
        self.stopping = False
        self.version = 3
        self.proxies = []
        self.table_listeners = {}
        try:
            self.start_all(through)
        except BaseException:
            self.stop()
            raise

    def start_all(self, through):
        for number in range(self.entries):
            self.write_settings(f"entry{number}", f"{NETWORK}.{11 + number}", True, ZONES[number % len(ZONES)])
            self.start(f"entry{number}")
        for number in range(self.agents):
            ip = f"{NETWORK}.{21 + number}"
            self.endpoints[ip] = Endpoint(ip, 18165, f"i-{number}", self.oracle, CPU)
            if through is not None:
                self.proxies.append(through((ip, 18164), (ip, 18165)))
                self.endpoints[ip].address = f"{ip}:18164"
            self.write_settings(f"agent{number}", ip, False, ZONES[number % len(ZONES)])
            self.start(f"agent{number}")
            threading.Thread(target=self.announce, args=(ip, self.endpoints[ip]), daemon=True).start()

    def write_settings(self, name, ip, is_entry, zone="a"):
        address = f"{TABLE_NETWORK}.{ip.rsplit('.', 1)[1]}"
        if ip not in self.table_listeners:
            self.table_listeners[ip] = TableListener(self.table, ip, address, TABLE[1])
        lines = [f"node_name={name}", f"ip={ip}", f"zone={zone}", f"listen_addrs.control={ip}:18166", "port_range=17720,17735",
                 f"seeds={NETWORK}.11:18166", f"platform.address={address}:{TABLE[1]}", "bounds.hold_max_ms=1000", "bounds.grace_s=6",
                 "bounds.retransmit_ms=1300", "bounds.stop_ms=50"]
        lines += [f"listen_addrs.front={ip}:18161", f"listen_addrs.readiness_addr={ip}:18167"] if is_entry else [f"app={ip}:18165", "service=desk"]
        lines += self.settings
        (self.folder / f"{name}.conf").write_text("\n".join(lines) + "\n")

    def start(self, name):
        program = self.build / ("medlarmill-entry" if name.startswith("entry") else "medlarmill-agent")
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen([program], stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                                    env=os.environ | {"MEDLARMILL_SETTINGS": str(self.folder / f"{name}.conf")})

    def announce(self, ip, endpoint):
        while not self.stopping:
            try:
                connection = http.client.HTTPConnection(ip, 18166, timeout=1)
                connection.request("POST", f"/medlarmill/Instances.Heartbeat/{endpoint.name}", json.dumps(endpoint.notice()))
                connection.getresponse().read()
                connection.close()
            except OSError:
                pass
            time.sleep(0.4)

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def restart(self, name, pause):
        self.processes[name].wait(10)
        time.sleep(pause)
        self.start(name)

    def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        for number in range(self.entries):
            while True:
                try:
                    connection = http.client.HTTPConnection(f"{NETWORK}.{11 + number}", 18167, timeout=1)
                    connection.request("GET", "/medlarmill/readyz")
                    if connection.getresponse().status == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > end:
                    raise AssertionError(f"entry{number} is not ready within {limit} s")
                time.sleep(0.05)

    def stop(self):
        self.stopping = True
        for process in self.processes.values():
            process.kill()
            process.wait()
        for server in [*self.proxies, *self.endpoints.values(), *self.table_listeners.values()]:
            server.close()
        self.table.close()


def metric(number, name):
    """@return the sum of an entry's metrics whose name with labels begins so."""
    connection = http.client.HTTPConnection(f"{NETWORK}.{11 + number}", 9464, timeout=3)
    connection.request("GET", "/metrics")
    lines = connection.getresponse().read().decode().splitlines()
    connection.close()
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines if line.startswith(f"medlarmill_{name}"))


def submit(number, job, run_ms, tasks, queue="check", more=""):
    """@return status and body, or None without an answer."""
    connection = http.client.HTTPConnection(f"{NETWORK}.{11 + number}", 18161, timeout=PATIENCE_MS / 1000 + 0.2)
    body = {"spec": f"{run_ms} {job}{more}", "best_effort": True,
            "task_groups": [{"count": tasks, "cpu": 3000, "mem_mb": 64, "estimate_ms": run_ms}]}
    try:
        connection.request("POST", f"/{queue}/{job}", json.dumps(body), {"Host": "desk.example", "X-Deadline-Ms": str(PATIENCE_MS)})
        response = connection.getresponse()
        return response.status, response.read().decode()
    except OSError:
        return None
    finally:
        connection.close()


class Callers:
    """Callers that submit again after a broken connection, as the platform's do."""

    def __init__(self, system, seed):
        self.system = system
        self.random = random.Random(seed)
        self.results = {}
        self.tasks = {}
        self.refused = {}  # Jobs whose last attempt was answered as not run, and when it was made.
        self.threads = []

    def job(self, run_ms, tasks, first):
        job = f"{self.random.getrandbits(64):016x}"
        self.tasks[job] = tasks

        def run():
            entry = first
            for _ in range(4):
                asked = time.monotonic()
                answer = submit(entry, job, run_ms, tasks)
                if answer is not None and answer[0] not in (502, 504):
                    break
                time.sleep(RESUBMIT_S)
                entry = (entry + 1) % ENTRIES
            self.results[job] = answer
            if answer is not None and answer[0] in (429, 503):
                self.refused[job] = asked

        thread = threading.Thread(target=run)
        thread.start()
        self.threads.append(thread)

    def load(self, seconds, per_second):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.job(self.random.choice([40, 80, 150, 400]), self.random.randint(1, 3), self.random.randrange(ENTRIES))
            time.sleep(1 / per_second)

    def finish(self):
        for thread in self.threads:
            thread.join()


def check(condition, text):
    print(("ok     " if condition else "FAILED ") + text, flush=True)
    return bool(condition)


def judge(name, system, callers, most_unserved):
    callers.finish()
    served = sum(1 for answer in callers.results.values() if answer is not None and answer[0] == 200)
    refused = callers.refused
    total = len(callers.results)
    good = check(not system.oracle.violations, f"{name}: no two runs of a task at one time {system.oracle.violations[:3]}")
    good &= check(not [job for job, asked in refused.items() if any(start >= asked for start in system.oracle.starts.get(job, []))], f"{name}: what was refused as not run has not run")
    good &= check(served >= total * (1 - most_unserved), f"{name}: {served} of {total} served, {len(refused)} refused")
    return good
