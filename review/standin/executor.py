"""A stand-in of one executor of the users' platform, as PROTOCOL.md describes it, in a process of its own.

Usage: executor.py RECORD '{"id":..., "address":..., "announced":..., "control":..., "clock_ms":..., "born":..., "labels":[...], "cpu":...}'

SIGKILL is its crash. Started again it runs nothing, has seen no fencing token, and its counts and its clock start anew.
With "late_share" it leaves that share of the orders without an answer and carries them out 2 to 12 s later. SIGUSR1 makes it drain: it says so at once, serves for drain_ms after the acknowledgement and "leave_after_s" more, says that it leaves, and ends;
without an acknowledgement it ends 3 s later. The spec of a task begins with its run time in ms.
"""

import asyncio
import json
import random
import signal
import sys
import time

HOLD_MAX_MS = 1000  # bounds.hold_max_ms
STOP_S = 0.02  # bounds.stop_ms is 50
HEARTBEAT_S = 1.5  # heartbeat_ms
DRAIN_S = 2.0  # bounds.drain_ms
UNACKNOWLEDGED_END_S = 3.0
ORDERS = ("/medlarmill/run-start", "/medlarmill/run-stop")
LATE_S = (2, 12)  # When an order that got no answer is carried out.
ENDS_A_CALL = 500
READ_LIMIT = 1 << 20


class Executor:
    def __init__(self, record, settings):
        self.record = open(record, "a", buffering=1)
        self.settings = settings
        self.began = time.monotonic()
        self.token = 0
        self.lease = 0
        self.runs = {}
        self.floor = {}
        self.ends = []
        self.next_end = 1
        self.sequence = 0
        self.state = "ready"
        self.changed = asyncio.Event()
        self.speaking = asyncio.Lock()
        self.agent = None
        self.leaving = None
        self.state_changed = asyncio.Event()
        self.told = None

    def note(self, event, **more):
        line = {"at": round(time.time(), 4), "who": self.settings["id"], "born": self.settings["born"], "event": event, **more}
        self.record.write(json.dumps(line) + "\n")

    def clock(self):
        return self.settings["clock_ms"] + int((time.monotonic() - self.began) * 1000)

    def used(self):
        return sum(run["cpu"] for run in self.runs.values())

    def extend(self, request):
        if "deadline_ms" in request:
            self.lease = max(self.lease, min(request["deadline_ms"], self.clock() + HOLD_MAX_MS))

    def end(self, key, how):
        run = self.runs.pop(key)
        self.floor[key[0]] = max(self.floor.get(key[0], 0), key[1])
        self.ends.append([self.next_end, key[0], key[1], how, ""])
        self.next_end += 1
        self.note("end", task=key[0], attempt=key[1], how=how, ran_ms=int((time.monotonic() - run["begin"]) * 1000))
        self.changed.set()

    async def work(self):
        while True:
            now = time.monotonic()
            lapsed = self.clock() > self.lease
            for key, run in list(self.runs.items()):
                if lapsed:
                    self.end(key, "lapsed")
                elif now >= run["end"]:
                    self.end(key, "stopped" if run["stopping"] else "done")
            await asyncio.sleep(0.002)

    def start(self, request, reply):
        key = (request["task"], request["attempt"])
        if request["deadline_ms"] <= self.clock():
            return 409, {**reply, "reason": "late"}
        self.extend(request)
        if key in self.runs:
            return 200, reply
        if key[1] <= self.floor.get(key[0], 0):
            return 409, {**reply, "reason": "old"}
        # The stand-in's tasks take 3,000 each, as its clients ask for.
        if self.used() + 3000 > self.settings["cpu"]:
            return 409, {**reply, "reason": "room"}
        run_s = int(request["spec"].split()[0]) / 1000
        self.runs[key] = {"begin": time.monotonic(), "end": time.monotonic() + run_s, "stopping": False, "cpu": 3000}
        self.note("start", task=key[0], attempt=key[1], spec=request["spec"], labels=self.settings["labels"], state=self.state)
        return 200, reply

    def stop(self, request, reply):
        key = (request["task"], request["attempt"])
        self.floor[key[0]] = max(self.floor.get(key[0], 0), key[1])
        if key in self.runs and not self.runs[key]["stopping"]:
            self.runs[key]["stopping"] = True
            self.runs[key]["end"] = min(self.runs[key]["end"], time.monotonic() + STOP_S)
        return 200, reply

    async def hold(self, request, reply):
        self.extend(request)
        self.ends = [end for end in self.ends if end[0] > request["acked_seq"]]
        until = time.monotonic() + min(2000, request.get("wait_ms", 0)) / 1000
        while not self.ends and (left := until - time.monotonic()) > 0:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        now = time.monotonic()
        active = [[task, attempt, "", min(99, int(100 * (now - run["begin"]) / max(0.001, run["end"] - run["begin"]))), 3000]
                  for (task, attempt), run in self.runs.items()]
        return 200, {**reply, "clock_ms": self.clock(), "active": active, "finished": self.ends[:ENDS_A_CALL]}

    async def answer(self, path, headers, body):
        if path == "/healthz":
            return 200, {}
        request = json.loads(body)
        reply = {"clock_ms": self.clock(), "born": self.settings["born"]}
        if headers.get("x-expected-instance", self.settings["id"]) != self.settings["id"]:
            return 421, reply
        token = request.get("fencing_token", 0)
        if token < self.token:
            return 409, {**reply, "reason": "fence"}
        self.token = token
        if path == "/medlarmill/run-start":
            return self.start(request, reply)
        if path == "/medlarmill/run-stop":
            return self.stop(request, reply)
        if path == "/medlarmill/hold":
            return await self.hold(request, reply)
        return 404, reply

    def carry_out_late(self, path, headers, body):
        asyncio.get_running_loop().create_task(self.answer(path, headers, body))

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                path = head[0].split(" ")[1]
                headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if path in ORDERS and random.random() < self.settings.get("late_share", 0):
                    asyncio.get_running_loop().call_later(random.uniform(*LATE_S), self.carry_out_late, path, headers, body)
                    continue
                status, answer = await self.answer(path, headers, body)
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nX-Instance-Id: {self.settings['id']}\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    def heartbeat(self):
        self.sequence += 1
        return {"service": self.settings["service"], "address": self.settings["announced"], "zone": "a", "version": "v1", "slots": 8,
                "state": self.state, "cold_left_ms": 0, "capacity": {"cpu": self.settings["cpu"], "mem_mb": 65536, "gpu": 0},
                "labels": self.settings["labels"], "clock_ms": self.clock(), "seq_no": self.sequence, "born": self.settings["born"]}

    async def call(self, path, body):
        """Calls the agent on the connection that is kept open, or on a new one. @return the status."""
        if self.agent is None:
            host, port = self.settings["control"].rsplit(":", 1)
            self.agent = await asyncio.open_connection(host, int(port))
        reader, writer = self.agent
        try:
            data = json.dumps(body).encode()
            writer.write(f"POST {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            length = next((int(line.split(":")[1]) for line in head.split("\r\n") if line.startswith("content-length:")), 0)
            await reader.readexactly(length)
            return int(head.split(" ")[1])
        except BaseException:
            self.agent = None
            writer.close()
            raise

    async def tell(self, path, body):
        """@return whether the agent acknowledged it within a second."""
        async with self.speaking:
            for _ in range(2):  # A kept connection may have been closed meanwhile.
                kept = self.agent is not None
                try:
                    return 200 <= await asyncio.wait_for(self.call(path, body), 1) < 300
                except asyncio.TimeoutError:
                    return False
                except (OSError, asyncio.IncompleteReadError, IndexError, ValueError):
                    if not kept:
                        return False
            return False

    async def beat_once(self):
        state = self.state
        acknowledged = await self.tell(f"/medlarmill/Instances.Heartbeat/{self.settings['id']}", self.heartbeat())
        self.note("heartbeat", acknowledged=acknowledged, labels=self.settings["labels"], state=state)
        return acknowledged

    async def beat(self):
        """Sends heartbeats about every `heartbeat_ms`; one that is due is sent at once when the state changes."""
        while True:
            due = time.monotonic() + HEARTBEAT_S
            self.told.set_result(await self.beat_once())
            self.told = asyncio.get_running_loop().create_future()
            self.state_changed.clear()
            try:
                await asyncio.wait_for(self.state_changed.wait(), max(0, due - time.monotonic()))
            except asyncio.TimeoutError:
                pass

    async def leave(self):
        self.state = "draining"
        self.state_changed.set()
        acknowledged = await self.told
        await asyncio.sleep(DRAIN_S + self.settings.get("leave_after_s", 8) if acknowledged else UNACKNOWLEDGED_END_S)
        acknowledged = await self.tell(f"/medlarmill/Instances.Deregister/{self.settings['id']}", {"born": self.settings["born"]})
        self.note("deregister", acknowledged=acknowledged)
        if not acknowledged:
            await asyncio.sleep(UNACKNOWLEDGED_END_S)
        for key in list(self.runs):
            self.end(key, "stopped")
        self.note("ended")
        sys.exit(0)

    def drain(self):
        self.leaving = asyncio.get_running_loop().create_task(self.leave())

    async def main(self):
        self.told = asyncio.get_running_loop().create_future()
        self.note("up", clock_ms=self.clock(), labels=self.settings["labels"])
        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, self.drain)
        host, port = self.settings["address"].rsplit(":", 1)
        server = await asyncio.start_server(self.serve, host, int(port), limit=READ_LIMIT, backlog=128)
        async with server:
            await asyncio.gather(self.work(), self.beat(), server.serve_forever())


if __name__ == "__main__":
    asyncio.run(Executor(sys.argv[1], json.loads(sys.argv[2])).main())
