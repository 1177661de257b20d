"""A small deployment on loopback for the cases of the review: the project's programs with the commands of the deploy file, stand-ins of
the platform's store and executors, and clients that do what PROTOCOL.md says of clients. Everything that it starts, it ends."""

import base64
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
CLIENT_DEADLINE_MS = 1500
RETRANSMIT_S = 1.3
SERVICE = "desk"
HOST = "desk.example"
QUEUE = "/check/"
TROUBLE = os.environ.get("TROUBLE", "1")
PROGRAMS = os.environ.get("REVIEW_PROGRAMS", "target")  # Folder of the programs, below the root of the repository.
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class Record:
    """record.txt: what was sent, answered and run, one JSON object a line."""

    def __init__(self, folder):
        self.path = folder / "record.txt"
        self.path.write_text("")
        self.file = open(self.path, "a", buffering=1)
        self.lock = threading.Lock()

    def note(self, who, event, **more):
        with self.lock:
            self.file.write(json.dumps({"at": round(time.time(), 4), "who": who, "event": event, **more}) + "\n")

    def read(self):
        return sorted((json.loads(line) for line in self.path.read_text().splitlines()), key=lambda line: line["at"])


class Store:
    """The platform's store: rows with versions, a feed, transactions."""

    def __init__(self, ip, port):
        self.changed = threading.Condition()
        self.rows, self.history, self.version = {}, [], 1
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def serve(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                parts = urllib.parse.urlsplit(self.path)
                status, answer = store.answer(parts.path, dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True)), body)
                data = json.dumps(answer).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    self.close_connection = True

            do_GET = do_POST = serve

            def log_message(self, *_):
                pass

            def handle(self):
                try:
                    super().handle()
                except OSError:
                    pass

        ThreadingHTTPServer.daemon_threads = True
        ThreadingHTTPServer.request_queue_size = 128
        self.server = ThreadingHTTPServer((ip, port), Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            row = {"table": table, "part": "", "key": key, "value": base64.b64encode(value).decode(), "row_version": self.version}
            self.rows[(table, key)] = row
            self.history.append(row)
            self.changed.notify_all()

    def view(self, rows):
        return {"rows": rows, "has_more": False, "row_version": self.version, "now_ms": int(time.monotonic() * 1000)}

    def answer(self, path, query, body):
        with self.changed:
            if path.endswith("rows-get"):
                return 200, self.view([row for (table, _), row in sorted(self.rows.items()) if table == query["table"]])
            if path.endswith("rows-feed"):
                since, until = int(query["depends_on"]), time.monotonic() + int(query["wait_ms"]) / 1000
                while True:
                    rows = [row for row in self.history if row["table"] == query["table"] and row["row_version"] > since]
                    left = until - time.monotonic()
                    if rows or left <= 0:
                        return 200, self.view(rows)
                    self.changed.wait(left)
            request = json.loads(body)
            if any(self.rows.get((row["table"], row["key"]), {}).get("row_version", 0) != row["row_version"] for row in request["expected_rev"]):
                return 412, self.view([])
            for row in request["remove"]:
                self.rows.pop((row["table"], row["key"]), None)
        for row in request["puts"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        return 200, {"row_version": self.version, "now_ms": int(time.monotonic() * 1000)}

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Proxy:
    """Passes connections on. While it is cut, nothing passes; a connection that was open or opened then stays silent for good. While one way
    is lost, what goes to "caller" or to "callee" vanishes, and new connections, which need both ways, do not come about."""

    def __init__(self, listen, target):
        self.target = target
        self.cut = False
        self.lost_to = None
        self.delay_s = 0
        self.pairs = []
        self.lock = threading.Lock()
        self.server = socket.create_server(listen, backlog=128)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                caller, _ = self.server.accept()
            except OSError:
                return
            pair = {"caller": caller, "callee": None, "silent": self.cut or self.lost_to is not None}
            with self.lock:
                self.pairs.append(pair)
            if pair["silent"]:
                continue
            try:
                pair["callee"] = socket.create_connection(self.target, timeout=2)
                pair["callee"].settimeout(None)
            except OSError:
                self.end(pair)
                continue
            threading.Thread(target=self.pass_on, args=(pair, "caller", "callee"), daemon=True).start()
            threading.Thread(target=self.pass_on, args=(pair, "callee", "caller"), daemon=True).start()

    def pass_on(self, pair, source, sink):
        try:
            while data := pair[source].recv(65536):
                if self.delay_s:
                    time.sleep(self.delay_s)
                if sink == self.lost_to:
                    continue
                if self.cut or pair["silent"]:
                    pair["silent"] = True
                    continue
                pair[sink].sendall(data)
        except OSError:
            pass
        if not self.cut and not pair["silent"]:
            self.end(pair)

    def end(self, pair):
        for name in ("caller", "callee"):
            if pair[name] is not None:
                pair[name].close()

    def lose(self, sink):
        """Loses what goes to one side, or nothing any more. What was lost leaves its connection of no use."""
        with self.lock:
            if sink is None:
                for pair in self.pairs:
                    pair["silent"] = True
            self.lost_to = sink

    def set_cut(self, cut):
        with self.lock:
            if cut:
                for pair in self.pairs:
                    pair["silent"] = True
            self.cut = cut

    def close(self):
        self.server.close()
        with self.lock:
            for pair in self.pairs:
                self.end(pair)


def free_net():
    """@return the beginning of loopback addresses on which the ports of a deployment are free."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (9464, 18161, 18163, 18164, 18165, 18166, 18167, 18169, 17720):
                for last in (11, 21, 99):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"{net}.{last}", port))
            return net
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


class World:
    """The programs, the store and the executors of one small deployment."""

    def __init__(self, folder, entries=2, sides=3, cpu=24000, clock_ms=1, labels=None, leave_after_s=8):
        self.folder = pathlib.Path(folder).resolve()
        self.record = Record(self.folder)
        self.scratch = tempfile.TemporaryDirectory(prefix="review-")
        self.work = pathlib.Path(self.scratch.name)
        self.net = free_net()
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.commands = {name: role["run"].replace("target/", f"{PROGRAMS}/", 1).split() for name, role in roles.items()}
        self.processes = {}
        self.results = {}
        self.lock = threading.Lock()
        self.clients = []
        self.store = Store(f"{self.net}.99", 18169)
        self.version = 3
        self.configure()
        self.entries = {f"entry{n}": f"{self.net}.{11 + n}" for n in range(entries)}
        self.sides = {f"side{n}": f"{self.net}.{21 + n}" for n in range(sides)}
        self.executors = {}
        self.proxies = {}  # By executor: what lies between it and its agent, if the case asks for it.
        try:
            for name, ip in self.entries.items():
                self.write_settings(name, ip, True)
                self.start(name)
            for number, (name, ip) in enumerate(self.sides.items()):
                self.write_settings(name, ip, False)
                self.start(name)
                self.executors[f"i-{number}"] = {"id": f"i-{number}", "address": f"{ip}:18165", "announced": f"{ip}:18165",
                                                 "control": f"{ip}:18166", "clock_ms": clock_ms, "born": 0, "cpu": cpu,
                                                 "labels": (labels or {}).get(number, ["a", f"r1-{number}"]), "service": SERVICE, "leave_after_s": leave_after_s}
        except BaseException:
            self.close()
            raise

    def put_between(self, name):
        """Puts proxies between an executor and its agent, both ways; to be called before the executor starts."""
        settings = self.executors[name]
        ip = settings["address"].rsplit(":", 1)[0]
        self.proxies[name] = [Proxy((ip, 18164), (ip, 18165)), Proxy((ip, 18163), (ip, 18166))]
        settings["announced"], settings["control"] = f"{ip}:18164", f"{ip}:18163"

    def cut(self, name, cut):
        """Cuts an executor off from its agent, or ends that."""
        self.record.note(name, "cut" if cut else "cut_ends")
        for proxy in self.proxies[name]:
            proxy.set_cut(cut)

    def cut_one_way(self, name, cut):
        """Loses what the `control` address of its machine answers to an executor, or ends that."""
        self.record.note(name, "cut_one_way" if cut else "cut_ends")
        self.proxies[name][1].lose("caller" if cut else None)

    def start_executors(self):
        for name in self.executors:
            self.start_executor(name)

    def configure(self, **more):
        route = {"name": "r-check", "host": HOST, "path_prefix": QUEUE, "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 60,
                 "priority": 0, "service": SERVICE, "max_attempts": 4, "slack_factor": 1.6}
        self.store.put("op", "config", json.dumps({
            "version": self.version, "routes": [route | more],
            "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False, "rejects_overload": True,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}).encode())
        self.version += 2

    def write_settings(self, name, ip, is_entry):
        role = "entry" if is_entry else "agent"
        lines = [f"node_name={name}", f"role={role}", f"machine_class={'frontend' if is_entry else 'side'}",
                 f"serves={'frontend,control_plane' if is_entry else 'side'}", f"ip={ip}", "zone=a", "region=r", "zones.a=r",
                 f"listen_addrs.control={ip}:18166", "port_range=17720,17735",
                 "seeds=" + ",".join(f"{entry}:18166" for entry in list(self.entries.values())[:3]), "bootstrap=true", "in_tolerance=false",
                 "limits.cpu_share=0.25", "limits.cores=1", "limits.memory_mb=260", "limits.max_fds=4100", "discovery=local", "entry=vip",
                 "heartbeat_ms=1500", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=6",
                 "bounds.config_apply_ms=2000", "bounds.recovery_s=12", "bounds.hold_max_ms=1000", "bounds.stop_ms=50",
                 "bounds.retransmit_ms=1300", "commands=invoke", f"platform.address={self.net}.99:18169", "platform.form=table",
                 "platform.writes_per_s=800", "platform.reads_per_s=2000"]
        if is_entry:
            lines += [f"listen_addrs.front={ip}:18161", f"listen_addrs.readiness_addr={ip}:18167"]
        else:
            lines += [f"app={ip}:18165", f"service={SERVICE}"]
        (self.work / f"{name}.conf").write_text("\n".join(lines) + "\n")

    def start(self, name):
        """Starts a program by its command in the deploy file."""
        command = self.commands["entry" if name.startswith("entry") else "agent"]
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": str(self.work), "LANG": "C.UTF-8",
                       "MEDLARMILL_SETTINGS": str(self.work / f"{name}.conf")}
        with open(self.work / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen([str(ROOT / command[0]), *command[1:]], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                                    stdin=subprocess.DEVNULL)
        self.record.note(name, "process_started")

    def start_executor(self, name, **changes):
        settings = self.executors[name]
        settings.update(changes)
        settings["born"] = max(settings["born"] + 1, int(time.time() * 1000))
        with open(self.work / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen([sys.executable, str(HERE / "executor.py"), str(self.record.path), json.dumps(settings)],
                                                    stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def kill(self, name):
        """SIGKILL to a program, or the crash of an executor."""
        self.record.note(name, "killed")
        self.processes[name].kill()
        self.processes[name].wait()

    def send(self, name, number):
        self.record.note(name, signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def wait_ready(self, limit=20):
        end = time.monotonic() + limit
        for ip in self.entries.values():
            while True:
                try:
                    connection = http.client.HTTPConnection(ip, 18167, timeout=1)
                    connection.request("GET", "/medlarmill/readyz")
                    if connection.getresponse().status == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > end:
                    raise RuntimeError("the entries do not become ready")
                time.sleep(0.05)

    def cancel(self, entry, job):
        """@return the status of the answer to a DELETE, or None without one."""
        connection = http.client.HTTPConnection(self.entries[entry], 18161, timeout=CLIENT_DEADLINE_MS / 1000)
        self.record.note("client", "cancel_sent", job=job, to=entry)
        try:
            connection.request("DELETE", QUEUE + job, headers={"Host": HOST})
            status = connection.getresponse().status
        except (OSError, http.client.HTTPException):
            status = None
        finally:
            connection.close()
        self.record.note("client", "cancel_answered", job=job, by=entry, status=status)
        return status

    def is_ready(self, entry):
        """What the platform asks once a second."""
        connection = http.client.HTTPConnection(self.entries[entry], 18167, timeout=1)
        try:
            connection.request("GET", "/medlarmill/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def post(self, ip, job, body, deadline_ms):
        """One attempt. @return the status, or None without an answer."""
        connection = http.client.HTTPConnection(ip, 18161, timeout=deadline_ms / 1000)
        try:
            connection.request("POST", QUEUE + job, json.dumps(body),
                               {"Host": HOST, "Content-Type": "application/json", "X-Deadline-Ms": str(deadline_ms)})
            response = connection.getresponse()
            return response.status, response.read().decode()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def submit(self, run_ms, tasks, job=None, entry=None, deadline_ms=CLIENT_DEADLINE_MS, wait_for=None, steps=1, **group):
        """A client on a thread of its own: hands a job in; after no response, a broken connection, 502 or 504 again, at another node."""
        job = job or f"{random.getrandbits(64):016x}"
        body = {"spec": f"{run_ms} {job}", "best_effort": True,
                "task_groups": [{"count": tasks, "cpu": 3000, "mem_mb": 64, "estimate_ms": run_ms, **group,
                                 **({"depends_on": [step - 1]} if step else {})} for step in range(steps)]}
        names = list(self.entries)
        first = names.index(entry) if entry else random.randrange(len(names))

        def run():
            if wait_for is not None:
                wait_for.wait()
            for attempt in range(3):
                name = names[(first + attempt) % len(names)]
                sent = time.time()
                self.record.note("client", "sent", job=job, to=name, **group)
                answer = self.post(self.entries[name], job, body, deadline_ms)
                self.record.note("client", "answered", job=job, by=name, status=answer and answer[0], body=answer and answer[1].strip())
                with self.lock:
                    self.results[job] = {"sent": self.results.get(job, {}).get("sent", sent), "status": answer and answer[0]}
                if answer is not None and answer[0] not in (502, 504):
                    return
                time.sleep(RETRANSMIT_S)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.clients.append(thread)
        return job

    def traffic(self, seconds, per_second, run_ms, tasks, **group):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.submit(run_ms, tasks, **group)
            time.sleep(1 / per_second)

    def finish_clients(self, limit=15):
        end = time.monotonic() + limit
        for thread in self.clients:
            thread.join(max(0, end - time.monotonic()))

    def served(self, since, until):
        """@return how many requests first sent in that time were served, and how many there were."""
        with self.lock:
            chosen = [result for result in self.results.values() if since <= result["sent"] < until]
        return sum(1 for result in chosen if result["status"] == 200), len(chosen)

    def close(self):
        for name, process in self.processes.items():
            try:
                process.send_signal(signal.SIGCONT)
            except OSError:
                pass
            process.kill()
            process.wait()
        for proxy in [proxy for pair in self.proxies.values() for proxy in pair]:
            proxy.close()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            for log in self.work.glob("*.log"):
                (pathlib.Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
        self.scratch.cleanup()


def overlaps(lines):
    """@return pairs of runs of one task that were at work at the same time, on executors that are up."""
    crashes = {}
    for line in lines:
        if line["event"] == "killed":
            crashes.setdefault(line["who"], []).append(line["at"])

    def is_up(run, at):
        """@return whether the incarnation that has a run has not crashed until then; what it wrote while it was killed counts for nothing."""
        return not any(run["born"] / 1000 <= crash <= at for crash in crashes.get(run["who"], []))

    open_runs, found = {}, []
    for line in lines:
        if line["event"] == "start":
            others = open_runs.setdefault(line["task"], {})
            found += [(other, line) for other in others.values() if is_up(other, line["at"]) and is_up(line, line["at"])]
            others[(line["who"], line["born"], line["attempt"])] = line
        elif line["event"] == "end":
            open_runs.get(line["task"], {}).pop((line["who"], line["born"], line["attempt"]), None)
    return found


def play(case, folder, prepare=None, **settings):
    """Runs a case. @param case takes the world and returns whether the rule held, with what was seen. @param prepare is called before the
    executors start."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        world = World(folder, **settings)
    except Exception as error:
        print(f"could not run: {error}")
        return COULD_NOT_RUN
    try:
        if prepare is not None:
            prepare(world)
        world.start_executors()
        world.wait_ready()
        time.sleep(1)
        held, seen = case(world)
    except Exception as error:
        print(f"could not run: {type(error).__name__}: {error}")
        return COULD_NOT_RUN
    finally:
        world.close()
    world.record.note("check", "held" if held else "broken", seen=seen)
    print(("held: " if held else "BROKEN: ") + seen)
    return HELD if held else BROKEN
