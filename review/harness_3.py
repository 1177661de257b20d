"""Stand-ins of the users' platform and a starter for the scripts of review 3 (review/11 to review/15).

Everything is written after the users' pages (PROTOCOL, DEPLOY): the store (rows), executors that are ordered with `invoke`, and clients.
The programs under test are those of the deploy file, target/medlarmill-entry and target/medlarmill-agent. All addresses are loopback
addresses; each machine has its own one, in a network that is chosen anew for each run.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
ROUTE = "r-3hwrr6x"
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
STOP_S = 0.02  # A stop takes at most stop_ms, 50.
CONTACT_S = 3.0
CANCEL_S = 3.0
STOP_MS = 50
RETRANSMIT_S = 1.3

SILENT = object()  # The answer is lost: nothing more comes on this connection.
RESET = object()  # The connection is reset.


class CannotRun(Exception):
    """The case could not run."""


class Http:
    """An HTTP/1.1 server. `handler(method, path, query, headers, body)` gives (status, document), SILENT or RESET."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=256)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                first, headers, body = request
                method, target, _ = first.split(" ", 2)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                answer = await self.handler(method, parts.path, query, headers, body)
                if answer is SILENT:
                    while await reader.read(65536):
                        pass
                    break
                if answer is RESET:
                    writer.transport.abort()
                    break
                status, document = answer
                data = b"" if document is None else json.dumps(document).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def abort_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        if self.server is not None:
            self.server.close()
        self.abort_connections()


async def read_message(reader):
    """@return first line, headers with small names, body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def call(ip, port, method, path, document=None, headers=None, timeout=5.0):
    """One request on a connection of its own. @return status and document."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(make_request(method, path, document, headers))
            await writer.drain()
            answer = await read_message(reader)
            if answer is None:
                raise ConnectionResetError("no answer")
            first, _, body = answer
            return int(first.split(" ")[1]), body
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


def make_request(method, path, document=None, headers=None):
    data = b"" if document is None else json.dumps(document).encode()
    fields = {"Host": HOST, "Content-Type": "application/json", "Content-Length": str(len(data))} | (headers or {})
    return (f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n").encode() + data


class Store:
    """The platform's metadata store: rows, conditions, the feed of changes."""

    def __init__(self, world):
        self.world = world
        self.rows = {}
        self.history = []
        self.version = 100
        self.changed = asyncio.Condition()
        self.http = Http(self.handle)

    async def put(self, table, key, value, part=""):
        async with self.changed:
            self.version += 1
            self.write(table, part, key, base64.b64encode(value).decode())
            self.changed.notify_all()

    def write(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "value": value, "row_version": self.version}
        self.rows[(table, part, key)] = row
        self.history.append(row)

    def drop(self, table, part, key):
        if self.rows.pop((table, part, key), None) is not None:
            self.history.append({"table": table, "part": part, "key": key, "deleted": True, "row_version": self.version})

    def view(self, rows, **more):
        return 200, {"rows": rows, "row_version": self.version, "now_ms": int(time.monotonic() * 1000)} | more

    async def handle(self, method, path, query, headers, body):
        if path == "/medlarmill/rows-get":
            rows = [row for (table, part, _), row in sorted(self.rows.items()) if table == query["table"] and part == query.get("part", "")]
            return self.view(rows[:500], has_more=len(rows) > 500)
        if path == "/medlarmill/rows-feed":
            since, until = int(query["depends_on"]), time.monotonic() + min(30000, int(query.get("wait_ms", 0))) / 1000
            while True:
                rows = [row for row in self.history if row["row_version"] > since and row["table"] == query["table"]]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return self.view(rows)
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/medlarmill/rows-tx":
            request = json.loads(body)
            async with self.changed:
                for row in request.get("expected_rev", []):
                    known = self.rows.get((row["table"], row["part"], row["key"]))
                    if (known["row_version"] if known else 0) != row["row_version"]:
                        return 412, {"rows": [known] if known else [], "row_version": self.version}
                self.version += 1
                for row in request.get("puts", []):
                    self.write(row["table"], row["part"], row["key"], row["value"])
                for row in request.get("remove", []):
                    self.drop(row["table"], row["part"], row["key"])
                self.changed.notify_all()
            return 200, {"row_version": self.version, "now_ms": int(time.monotonic() * 1000)}
        return 404, {}


class Executor:
    """Runs tasks under a lease, as PROTOCOL says under 'Running tasks'. The spec begins with the run time in ms."""

    def __init__(self, world, number, ip, capacity=None, labels=None):
        self.world = world
        self.name = f"i-{random.getrandbits(32):08x}"
        self.number = number
        self.ip = ip
        self.capacity = capacity or {"cpu": 32000, "mem_mb": 65536, "gpu": 0}
        self.labels = labels or ["a", f"r1-{number}"]
        self.state = "ready"
        self.trouble = None  # trouble(kind, request) gives None, "lost" (done, no answer) or a time in s after which it is carried out.
        self.http = None
        self.begin()
        self.ended = asyncio.Condition()

    def begin(self):
        self.born = int(time.time() * 1000)
        self.steady = time.monotonic() - random.uniform(100, 500)
        self.token = 0
        self.lease_ms = 0
        self.runs = {}
        self.floors = {}
        self.ends = []
        self.next_end = 1
        self.sequence = 0

    def clock(self):
        return int((time.monotonic() - self.steady) * 1000)

    async def listen(self):
        self.http = Http(self.handle)
        await self.http.listen(self.ip, self.world.ports["app"])

    def beat(self):
        self.sequence += 1
        return {"service": SERVICE, "address": f"{self.ip}:{self.world.ports['app']}", "zone": "giza", "version": "v1", "slots": 8,
                "state": self.state, "cold_left_ms": 0, "capacity": self.capacity, "labels": self.labels, "clock_ms": self.clock(),
                "seq_no": self.sequence, "born": self.born}

    async def announce(self):
        while True:
            try:
                status, _ = await call(self.ip, self.world.ports["control"], "POST", f"/medlarmill/Instances.Heartbeat/{self.name}",
                                       self.beat(), timeout=1.0)
                await asyncio.sleep(HEARTBEAT_S if 200 <= status < 300 else 0.3)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.3)

    async def work(self):
        while True:
            now = time.monotonic()
            lapsed = self.clock() > self.lease_ms
            over = [(key, run) for key, run in self.runs.items() if lapsed or now >= run["end"]]
            for key, run in over:
                self.end(key, "lapsed" if lapsed else "stopped" if run["stopping"] else "done")
            if over:
                async with self.ended:
                    self.ended.notify_all()
            await asyncio.sleep(0.002)

    def end(self, key, how):
        task, attempt = key
        self.runs.pop(key)
        self.floors[task] = max(self.floors.get(task, 0), attempt)
        self.ends.append([self.next_end, task, attempt, how, ""])
        self.next_end += 1
        self.world.note("end", executor=self.name, task=task, attempt=attempt, how=how)
        self.world.ended(self, task, attempt)

    async def handle(self, method, path, query, headers, body):
        kind = path.rsplit("/", 1)[1]
        request = json.loads(body)
        plan = self.trouble(kind, request) if self.trouble else None
        if plan is not None and plan != "lost":
            born = self.born
            asyncio.get_running_loop().call_later(plan, lambda: asyncio.ensure_future(self.carry_out_late(born, kind, request, headers)))
            return SILENT
        answer = await self.answer(kind, request, headers)
        if plan == "lost":
            self.world.note("answer_lost", executor=self.name, call=kind, task=request.get("task"), attempt=request.get("attempt"))
            return SILENT
        return answer

    async def carry_out_late(self, born, kind, request, headers):
        """An order that waits ends with its process."""
        if born == self.born:
            await self.answer(kind, request | {"wait_ms": 0}, headers)

    async def answer(self, kind, request, headers):
        base = {"clock_ms": self.clock(), "born": self.born}
        if headers.get("x-expected-instance", self.name) != self.name:
            return 421, base
        if request.get("fencing_token", 0) < self.token:
            return 409, base | {"reason": "fence"}
        self.token = request.get("fencing_token", 0)
        if kind == "run-start":
            return self.start(request, base)
        if kind == "run-stop":
            key = (request["task"], request["attempt"])
            self.floors[key[0]] = max(self.floors.get(key[0], 0), key[1])
            if key in self.runs and not self.runs[key]["stopping"]:
                self.runs[key] |= {"stopping": True, "end": time.monotonic() + STOP_S}
            self.world.note("stop", executor=self.name, task=key[0], attempt=key[1])
            return 200, base
        return await self.hold(request, base)

    def extend(self, deadline_ms):
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock() + HOLD_MAX_MS))

    def start(self, request, base):
        key = (request["task"], request["attempt"])
        if request["deadline_ms"] <= self.clock():
            return 409, base | {"reason": "late"}
        self.extend(request["deadline_ms"])
        if key in self.runs:
            return 200, base
        if key[1] <= self.floors.get(key[0], 0):
            return 409, base | {"reason": "old"}
        cpu = self.world.cpu_of(key[0])
        if sum(run["cpu"] for run in self.runs.values()) + cpu > self.capacity["cpu"]:
            return 409, base | {"reason": "room"}
        now = time.monotonic()
        self.runs[key] = {"begin": now, "end": now + int(request["spec"].split()[0]) / 1000, "stopping": False, "cpu": cpu}
        self.world.note("start", executor=self.name, task=key[0], attempt=key[1])
        self.world.started(self, key[0], key[1])
        return 200, base

    async def hold(self, request, base):
        if "deadline_ms" in request:
            self.extend(request["deadline_ms"])
        born = self.born
        self.ends = [end for end in self.ends if end[0] > request.get("acked_seq", 0)]
        until = time.monotonic() + min(2000, request.get("wait_ms", 0)) / 1000
        while not self.ends and time.monotonic() < until and born == self.born:
            try:
                async with self.ended:
                    await asyncio.wait_for(self.ended.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        active = [[task, attempt, "", min(99, int(100 * (now - run["begin"]) / max(0.001, run["end"] - run["begin"]))), run["cpu"]]
                  for (task, attempt), run in self.runs.items()]
        return 200, base | {"clock_ms": self.clock(), "active": active, "finished": self.ends[:500]}


class Border:
    """The network around one entry: its machine is known to others by a public address, where this proxy stands, and listens at an address
    of its own. The names of the two have the same length and are put for each other on the way, as address translation does. While it is
    cut, nothing passes and new connections hang, as DEPLOY says of a machine behind a partition."""

    def __init__(self, world, public, own, port):
        self.world = world
        self.names = (public.encode(), own.encode())
        self.public, self.own, self.port = public, own, port
        self.is_cut = False
        self.healed = asyncio.Event()
        self.healed.set()
        self.pairs = set()

    async def listen(self):
        await asyncio.start_server(self.serve, self.public, self.port, backlog=256)

    async def serve(self, reader, writer):
        await self.healed.wait()
        try:
            inner_reader, inner_writer = await asyncio.open_connection(self.own, self.port)
        except OSError:
            writer.transport.abort()
            return
        public, own = self.names
        await asyncio.gather(self.pump(reader, inner_writer, public, own), self.pump(inner_reader, writer, own, public))

    async def pump(self, reader, writer, old, new):
        try:
            while data := await reader.read(65536):
                await self.healed.wait()
                if reader.exception() is not None:
                    break  # What a partition held up is lost when its sender has reset the connection.
                writer.write(data.replace(old + b":", new + b":"))
                await writer.drain()
        except OSError:
            pass
        await self.healed.wait()  # A reset doesn't pass a partition either.
        writer.transport.abort()

    async def handle_store(self, method, path, query, headers, body):
        """The store by way of the same translation; this way is not cut."""
        public, own = (name.decode() for name in self.names)
        status, document = await self.world.store.handle(method, path, query, headers, body.replace(own.encode() + b":", public.encode() + b":"))
        return status, json.loads(json.dumps(document).replace(public + ":", own + ":"))

    def cut(self):
        self.world.note("cut", entry=self.own)
        self.healed.clear()

    def heal(self):
        self.world.note("healed", entry=self.own)
        self.healed.set()


class World:
    """A small deployment: entries, agents with an executor each, the store; and what is seen of them."""

    def __init__(self, folder, entries=2, agents=3, seed=1, bordered=()):
        self.case = pathlib.Path(folder)
        self.record = open(self.case / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()
        self.random = random.Random(seed)
        self.network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.entry_count = entries
        self.agent_count = agents
        self.ports = {}
        self.processes = {}
        self.executors = []
        self.alive = {}  # Runs that are there now, by task.
        self.overlaps = []
        self.borders = {}
        self.bordered = bordered
        self.ended_early = []
        self.jobs = {}  # CPU of a task, by job.
        self.tasks = []
        self.store = Store(self)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)

    def now(self):
        return time.monotonic() - self.began

    def note(self, event, **more):
        text = " ".join(f"{name}={value}" for name, value in more.items())
        self.record.write(f"{self.now():9.4f} {event} {text}\n")

    def cpu_of(self, task):
        return self.jobs.get(task.split(".")[0], 3100)

    def started(self, executor, task, attempt):
        there = self.alive.setdefault(task, [])
        if there:
            self.overlaps.append((self.now(), task, attempt, executor.name, list(there)))
            self.note("OVERLAP", task=task, attempt=attempt, executor=executor.name, beside=there)
        there.append((executor.name, attempt))

    def ended(self, executor, task, attempt):
        self.alive[task].remove((executor.name, attempt))

    def entry_ip(self, number):
        return f"{self.network}.{11 + number}"

    def agent_ip(self, number):
        return f"{self.network}.{101 + number}"

    def choose_ports(self):
        taken = set()
        for name in ("front", "readiness_addr", "control", "app", "store"):
            while True:
                with socket.socket() as probe:
                    probe.bind((self.entry_ip(0), 0))
                    port = probe.getsockname()[1]
                if port not in taken:
                    break
            taken.add(port)
            self.ports[name] = port
        self.ports["link"] = self.free_range(16, taken)

    def free_range(self, count, taken):
        """@return the first of so many ports that are free at the first entry."""
        while True:
            first = random.randint(20000, 30000)
            try:
                for port in range(first, first + count):
                    with socket.socket() as probe:
                        probe.bind((self.entry_ip(0), port))
            except OSError:
                continue
            if not taken & set(range(first, first + count)):
                return first

    def settings(self, name, ip, is_entry, extra=()):
        zones = ["giza", "shubra", "maadi"]
        zone = zones[int(name[-1]) % 3]
        lines = [f"node_name={name}", f"role={'entry' if is_entry else 'agent'}", f"machine_class={'frontend' if is_entry else 'side'}",
                 f"serves={'frontend,control_plane' if is_entry else 'side'}", f"ip={ip}", f"zone={zone}", "region=lower-egypt"]
        lines += [f"zones.{item}=lower-egypt" for item in zones]
        if is_entry:
            lines += [f"listen_addrs.front={ip}:{self.ports['front']}", f"listen_addrs.readiness_addr={ip}:{self.ports['readiness_addr']}"]
        lines += [f"listen_addrs.control={ip}:{self.ports['control']}", f"port_range={self.ports['link']},{self.ports['link'] + 15}",
                  "seeds=" + ",".join(f"{self.entry_ip(n)}:{self.ports['control']}" for n in range(min(3, self.entry_count))),
                  "bootstrap=true", "in_tolerance=false", f"limits.cpu_share={0.25 if is_entry else 0.15}", "limits.cores=1",
                  f"limits.memory_mb={260 if is_entry else 128}", f"limits.max_fds={4100 if is_entry else 4096}", "limits.link_mbps=1000.0",
                  "limits.disk_mb=0", "discovery=local", "entry=vip", "heartbeat_ms=1500",
                  "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing", "fault_tolerance.machines=1",
                  "fault_tolerance.zones=0", "fault_tolerance.region_count=0", "bounds.seed_lag_s=3", "bounds.reuse_after_s=2",
                  "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000", "bounds.grace_s=6",
                  "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.downgrade_ms=250", "bounds.max_skew_ms=5000",
                  "bounds.recovery_s=12", f"bounds.hold_max_ms={HOLD_MAX_MS}", f"bounds.stop_ms={STOP_MS}", "bounds.gang_wait_ms=3000",
                  "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120",
                  "bounds.remote_factor=1.5", "bounds.checkpoint_s=0.5", "bounds.restore_ms=100", "bounds.fencing_enabled=true",
                  "bounds.lease_ms=3000", "bounds.thaw_ms=300", "bounds.retransmit_ms=1300", "commands=invoke",
                  f"platform.address={self.network}.9:{self.ports['store']}", "platform.form=table"]
        if not is_entry:
            lines += [f"app={ip}:{self.ports['app']}", f"service={SERVICE}"]
        text = "\n".join([*lines, *extra]) + "\n"
        for border in self.borders.values():
            if ip == border.own:
                text = text.replace(border.public + ":", border.own + ":").replace(f"{self.network}.9:", f"{self.network}.8:")
        path = self.folder / f"{name}.conf"
        path.write_text(text)
        return path

    def config(self, version, routes=(PREFIX,)):
        return {"version": version,
                "routes": [{"name": f"{ROUTE}{number}", "host": HOST, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 1500,
                            "target_latency_ms": 60, "priority": 0, "service": SERVICE, "max_attempts": 4, "slack_factor": 1.6}
                           for number, prefix in enumerate(routes)],
                "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
                              "rejects_overload": True, "standby": False}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    def start_process(self, name, program, settings):
        path = ROOT / "target" / program
        if not path.exists():
            raise CannotRun(f"{path.name} is not built")
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen([path], stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT,
                                                env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.folder), "LANG": "C",
                                                     "MEDLARMILL_SETTINGS": str(settings)})
        log.close()
        self.note("process_started", name=name)

    def start_entry(self, number):
        ip = self.borders[number].own if number in self.borders else self.entry_ip(number)
        self.start_process(f"entry-{number}", "medlarmill-entry", self.settings(f"entry-{number}", ip, True))

    async def put_border(self, number):
        """Everything of our machines that reaches this entry passes a proxy. It has the highest address, so all others dial it."""
        public = self.entry_ip(number)
        border = Border(self, public, public[:-2] + "9" + public[-1], self.ports["link"])
        self.borders[number] = border
        await border.listen()
        await Http(border.handle_store).listen(f"{self.network}.8", self.ports["store"])

    def front_ip(self, number):
        """Where clients reach an entry; they do not pass the border."""
        return self.borders[number].own if number in self.borders else self.entry_ip(number)

    def start_agent(self, number):
        self.start_process(f"agent-{number}", "medlarmill-agent", self.settings(f"agent-{number}", self.agent_ip(number), False))

    def signal(self, name, number):
        self.note("signal", name=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    async def begin(self):
        self.choose_ports()
        await self.store.http.listen(f"{self.network}.9", self.ports["store"])
        await self.store.put("op", "config", json.dumps(self.config(7)).encode())
        for number in self.bordered:
            await self.put_border(number)
        for number in range(self.entry_count):
            self.start_entry(number)
        for number in range(self.agent_count):
            executor = Executor(self, number, self.agent_ip(number))
            self.executors.append(executor)
            await executor.listen()
            self.tasks.append(asyncio.ensure_future(executor.announce()))
            self.tasks.append(asyncio.ensure_future(executor.work()))
            self.start_agent(number)
        await self.wait_ready()

    async def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        for number in range(self.entry_count):
            while True:
                try:
                    status, _ = await call(self.front_ip(number), self.ports["readiness_addr"], "GET", "/medlarmill/readyz", timeout=1)
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError):
                    pass
                if time.monotonic() > until:
                    raise CannotRun(f"entry {number} isn't ready")
                await asyncio.sleep(0.05)
        await asyncio.sleep(2.0)

    def new_job(self, run_ms, tasks, cpu=3100, **more):
        job = f"{self.random.getrandbits(64):016x}"
        self.jobs[job] = cpu
        document = {"spec": f"{run_ms} {job}", "best_effort": True,
                    "task_groups": [{"count": tasks, "cpu": cpu, "mem_mb": 64, "estimate_ms": run_ms} | more]}
        return job, document

    async def submit(self, entry, job, document, patience_ms, prefix=PREFIX):
        """A client that waits for the answer. @return status and body, or None without an answer."""
        self.note("submit", job=job, entry=entry)
        try:
            answer = await call(self.front_ip(entry), self.ports["front"], "POST", prefix + job, document,
                                {"X-Deadline-Ms": str(patience_ms)}, timeout=patience_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.note("no_answer", job=job, entry=entry, error=type(error).__name__)
            return None
        self.note("answer", job=job, entry=entry, status=answer[0], body=answer[1].decode(errors="replace"))
        return answer

    async def cancel(self, entry, job, prefix=PREFIX):
        self.note("cancel", job=job, entry=entry)
        try:
            status, _ = await call(self.front_ip(entry), self.ports["front"], "DELETE", prefix + job, timeout=4.0)
        except (OSError, asyncio.TimeoutError) as error:
            self.note("cancel_no_answer", job=job, error=type(error).__name__)
            return None
        self.note("cancel_answer", job=job, status=status)
        return status

    def end_processes(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def finish(self):
        self.end_processes()
        if os.environ.get("KEEP_LOGS"):
            import shutil
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self.temporary.cleanup()
        self.record.close()

    def crashed(self):
        """@return the processes that ended by themselves."""
        return [name for name, process in self.processes.items() if process.poll() is not None]


def run_case(folder, body, **world):
    """Runs `body(world, trouble)`, which gives the list of what broke the rule. Exits 0, 1 or 2, as the issue asks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    state = World(folder, **world)
    state.note("begin", trouble=int(trouble))

    async def play():
        # Connections that end with the test are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            await state.begin()
            return await asyncio.wait_for(body(state, trouble), 95)
        finally:
            state.ended_early = state.crashed()
            state.end_processes()
            for task in state.tasks:
                task.cancel()

    try:
        broken = asyncio.run(play())
    except Exception as error:  # Whatever keeps the case from running.
        state.note("cannot_run", error=repr(error))
        print(f"could not run: {error!r}")
        state.finish()
        sys.exit(2)
    for line in broken:
        state.note("BROKEN", what=line)
        print(line)
    state.note("result", broken=len(broken))
    state.note("ended_by_themselves", names=state.ended_early)
    print(f"rule broken: {len(broken)} times" if broken else "the rule held")
    state.finish()
    sys.exit(1 if broken else 0)
