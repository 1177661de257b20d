"""A stand-in of the users' platform: its table service and its endpoints, over HTTP on loopback, with an oracle for runs."""

import base64
import json
import random
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

LONGEST_LEASE_MS = 1000
STOP_S = 0.02
SILENCE_S = 10
CRASH_S = 0.01  # From the start of a crashing task to the crash.


class Oracle:
    """Knows which runs are alive anywhere; two runs of one task at one time are a violation."""

    def __init__(self):
        self.lock = threading.Lock()
        self.alive = {}
        self.starts = {}
        self.starts_at = {}  # Times of all starts by endpoint.
        self.done = {}
        self.crashes = {}  # Endpoints that each job crashed.
        self.violations = []

    def start(self, endpoint, task):
        with self.lock:
            if self.alive.get(task):
                self.violations.append(f"{task} starts at {endpoint} while it runs at {self.alive[task]}")
            self.alive.setdefault(task, []).append(endpoint)
            job = task.split(".")[0]
            self.starts.setdefault(job, []).append(time.monotonic())
            self.starts_at.setdefault(endpoint, []).append(time.monotonic())

    def end(self, endpoint, task, how):
        with self.lock:
            self.alive[task].remove(endpoint)
            if how == "done":
                self.done.setdefault(task.split(".")[0], set()).add(task)


class Server:
    """An HTTP server on a thread of its own; subclasses answer(method, path, query, body, headers)."""

    silent_before = 0  # Connections opened before are silent for good; new ones work.
    reset_before = 0  # Connections opened before end without an answer: their process has crashed.

    def __init__(self, ip, port):
        self.unheard = []  # Requests that arrived on silent connections.
        owner = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self):
                super().setup()
                self.opened = time.monotonic()

            def serve(self):
                length = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(length)
                parts = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                if self.opened < owner.reset_before:
                    self.close_connection = True
                    return
                if self.opened < owner.silent_before:
                    owner.unheard.append((self.client_address[0], parts.path, query))
                    time.sleep(SILENCE_S)
                    self.close_connection = True
                    return
                status, answer = owner.answer_to(self.client_address[0], self.command, parts.path, query, body, self.headers)
                if self.opened < owner.silent_before:
                    time.sleep(SILENCE_S)
                    status = None
                if status is None or self.opened < owner.reset_before:
                    self.close_connection = True
                    return
                data = json.dumps(answer).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    self.close_connection = True

            do_GET = do_POST = do_DELETE = serve

            def log_message(self, *args):
                pass

        ThreadingHTTPServer.daemon_threads = True
        ThreadingHTTPServer.request_queue_size = 128
        self.server = ThreadingHTTPServer((ip, port), Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def answer_to(self, caller, method, path, query, body, headers):
        """@return status and body; no status closes the connection without an answer."""
        return self.answer(method, path, query, body, headers)

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Table(Server):
    """Rows with versions, conditions and a feed of changes."""

    def __init__(self, ip, port):
        self.changed = threading.Condition()
        self.rows = {}
        self.history = []
        self.version = 1
        self.down = False
        self.slow_s = 0
        self.lost = 0  # Share of the answers that are lost after the work was done.
        self.turned_away = set()  # Callers that get 503.
        self.forget = False  # The next feed is told that its history is gone.
        super().__init__(ip, port)

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            row = {"table": table, "part": "", "key": key, "value": base64.b64encode(value).decode(), "row_version": self.version}
            self.rows[(table, key)] = row
            self.history.append(row)
            self.changed.notify_all()

    def remove(self, table, key):
        with self.changed:
            if self.rows.pop((table, key), None) is None:
                return
            self.version += 1
            self.history.append({"table": table, "part": "", "key": key, "deleted": True, "row_version": self.version})
            self.changed.notify_all()

    def view(self, rows):
        return {"rows": rows, "has_more": False, "row_version": self.version, "now_ms": int(time.monotonic() * 1000)}

    def answer_to(self, caller, method, path, query, body, headers):
        if self.down or caller in self.turned_away:
            return 503, {}
        time.sleep(self.slow_s)
        status, answer = self.answer(method, path, query, body, headers)
        return (None if random.random() < self.lost else status), answer

    def answer(self, method, path, query, body, headers):
        if path.endswith("rows-get"):
            with self.changed:
                return 200, self.view([row for (table, _), row in sorted(self.rows.items()) if table == query["table"]])
        if path.endswith("rows-feed"):
            return self.feed(query)
        request = json.loads(body)
        for row in request["remove"]:
            self.remove(row["table"], row["key"])
        for row in request["puts"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        return 200, self.view([])

    def feed(self, query):
        if self.forget:
            self.forget = False
            return 410, {}
        since = int(query["depends_on"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            while True:
                rows = [row for row in self.history if row["row_version"] > since and row["table"] == query["table"]]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self.view(rows)
                self.changed.wait(left)


class TableListener(Server):
    """An address of the table for one machine. All connections on loopback come from 127.0.0.1, so that the table can turn a machine away
    only by the address it calls."""

    def __init__(self, table, machine, ip, port):
        self.table = table
        self.machine = machine
        super().__init__(ip, port)
        self.unheard = table.unheard

    @property
    def silent_before(self):
        return self.table.silent_before

    def answer_to(self, caller, method, path, query, body, headers):
        return self.table.answer_to(self.machine, method, path, query, body, headers)


class Endpoint(Server):
    """Runs tasks under leases. The run time in ms is the first word of the spec; one that ends with "crash" crashes the endpoint."""

    def __init__(self, ip, port, name, oracle, cpu):
        self.name = name
        self.oracle = oracle
        self.cpu = cpu
        self.lock = threading.Condition()
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.lease = 0
        self.runs = {}
        self.floor = {}
        self.ends = []
        self.next_end = 1
        self.sequence = 0
        self.late = 0  # Share of the starts and stops that get no answer and are carried out seconds later.
        self.lost = 0  # Share of the answers that are lost after the work was done.
        self.failing = 0  # Share of the runs that fail.
        self.slow = 1  # Factor of all run times.
        threading.Thread(target=self.work, daemon=True).start()
        super().__init__(ip, port)
        self.address = f"{ip}:{port}"

    def clock(self):
        return 1000 + int((time.monotonic() - self.began) * 1000)

    def notice(self):
        self.sequence += 1
        return {"service": "desk", "address": self.address, "zone": "a", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 4096, "gpu": 0}, "labels": ["a"], "clock_ms": self.clock(),
                "seq_no": self.sequence, "born": self.born}

    def work(self):
        while True:
            with self.lock:
                now = time.monotonic()
                lapsed = self.clock() > self.lease
                for (task, attempt), run in list(self.runs.items()):
                    if not lapsed and now < run["end"]:
                        continue
                    how = "lapsed" if lapsed else "stopped" if run["stopping"] else "failed" if run["fails"] else "done"
                    del self.runs[(task, attempt)]
                    self.floor[task] = max(self.floor.get(task, 0), attempt)
                    self.ends.append([self.next_end, task, attempt, how, ""])
                    self.next_end += 1
                    self.oracle.end(self.name, task, how)
                    self.lock.notify_all()
            time.sleep(0.002)

    def reborn(self):
        """It crashes and starts again under its id; everything that ran is over."""
        with self.lock:
            for task, _ in self.runs:
                self.oracle.end(self.name, task, "crashed")
            self.runs, self.floor, self.ends, self.next_end, self.sequence = {}, {}, [], 1, 0
            self.born, self.began, self.token, self.lease = int(time.time() * 1000), time.monotonic(), 0, 0
            self.reset_before = self.began
            self.lock.notify_all()

    def answer_late(self, born, *request):
        if born == self.born:  # Orders under way end with the incarnation.
            self.answer(*request)

    def answer_to(self, caller, method, path, query, body, headers):
        if not path.endswith("hold") and random.random() < self.late:
            threading.Timer(random.uniform(1, 4), self.answer_late, (self.born, method, path, query, body, headers)).start()
            return None, {}
        status, answer = self.answer(method, path, query, body, headers)
        return (None if random.random() < self.lost else status), answer

    def answer(self, method, path, query, body, headers):
        request = json.loads(body)
        with self.lock:
            reply = {"clock_ms": self.clock(), "born": self.born}
            if headers.get("X-Expected-Instance") not in (None, self.name):
                return 421, reply
            if request.get("fencing_token", 0) < self.token:
                return 409, reply | {"reason": "fence"}
            self.token = request.get("fencing_token", 0)
            if path.endswith("run-start"):
                return self.start(request, reply)
            if path.endswith("run-stop"):
                key = (request["task"], request["attempt"])
                self.floor[key[0]] = max(self.floor.get(key[0], 0), key[1])
                if key in self.runs:
                    self.runs[key]["stopping"] = True
                    self.runs[key]["end"] = time.monotonic() + STOP_S
                return 200, reply
            return self.look(request, reply)

    def start(self, request, reply):
        key = (request["task"], request["attempt"])
        if request["deadline_ms"] <= self.clock():
            return 409, reply | {"reason": "late"}
        self.lease = max(self.lease, min(request["deadline_ms"], self.clock() + LONGEST_LEASE_MS))
        if key in self.runs:
            return 200, reply
        if key[1] <= self.floor.get(key[0], 0):
            return 409, reply | {"reason": "old"}
        if (len(self.runs) + 1) * 3000 > self.cpu:
            return 409, reply | {"reason": "room"}
        run_s = int(request["spec"].split()[0]) / 1000 * self.slow
        self.runs[key] = {"begin": time.monotonic(), "end": time.monotonic() + run_s, "stopping": False,
                          "fails": random.random() < self.failing}
        self.oracle.start(self.name, key[0])
        if request["spec"].endswith(" crash"):
            job = key[0].split(".")[0]
            self.oracle.crashes[job] = self.oracle.crashes.get(job, 0) + 1
            threading.Timer(CRASH_S, self.reborn).start()
        return 200, reply

    def look(self, request, reply):
        if "deadline_ms" in request:
            self.lease = max(self.lease, min(request["deadline_ms"], self.clock() + LONGEST_LEASE_MS))
        self.ends = [end for end in self.ends if end[0] > request["acked_seq"]]
        until = time.monotonic() + request.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < until:
            self.lock.wait(until - time.monotonic())
        now = time.monotonic()
        active = [[task, attempt, "", min(99, int(100 * (now - run["begin"]) / max(0.001, run["end"] - run["begin"]))), 3000]
                  for (task, attempt), run in self.runs.items()]
        return 200, reply | {"clock_ms": self.clock(), "active": active, "finished": self.ends[:500]}
