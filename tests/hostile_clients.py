"""Clients that misbehave against the real programs: a small crowd, and lowered limits in the settings.

Each case checks that the processes live, that their peak memory and open descriptors stay under what the settings give them, that jobs in
flight before the crowd complete, and that afterwards an ordinary request and readiness are answered 200. Times and shares are not checked.
The network is one of its own, so that no other test's system is met. Usage: hostile_clients.py BUILD [CASE...]
"""

import argparse
import http.client
import json
import os
import pathlib
import socket
import sys
import tempfile
import threading
import time

os.environ.setdefault("MEDLARMILL_TEST_NETWORK", "127.0.5")

from platform_system import NETWORK, System, check

MEMORY_MB = 24
MAX_FDS = 160
CROWD = 96  # Connections of a crowd; their bodies of legal size alone hold 24 MiB.
CROWD_OF_TWO = 64  # Of each of two crowds at once.
BODY = 262144  # The largest body that is promised to be taken.
HEADER = 16384  # The same for the header section.
SEND_S = 2.5  # A crowd sends for so long at most, and then closes.
CALM_S = 20  # Bounds the wait for the first ordinary answer after a crowd; no test of speed.
ENTRY = f"{NETWORK}.11"
AGENT = f"{NETWORK}.21"

# Where requests can arrive: address, port, path, whether jobs are taken there.
PLACES = {
    "route": (ENTRY, 18161, "/check/{:016x}"),
    "no route": (ENTRY, 18161, "/nothing/{:016x}"),
    "readiness path of callers": (ENTRY, 18161, "/medlarmill/readyz"),
    "readiness port": (ENTRY, 18167, "/medlarmill/readyz"),
    "announcements": (AGENT, 18166, "/medlarmill/Instances.Heartbeat/x{:x}"),
    "announcements at the entry": (ENTRY, 18166, "/medlarmill/Instances.Heartbeat/x{:x}"),
    "metrics of the entry": (ENTRY, 9464, "/metrics"),
    "metrics of the agent": (AGENT, 9464, "/metrics"),
}


class Client:
    """One connection of a crowd: what it sends, at most how much at once and how often, and whether it reads."""

    def __init__(self, place, data, piece=1 << 20, pause=0.0, reads=True, small_window=False):
        self.place = place
        self.data = memoryview(data)
        self.piece = piece
        self.pause = pause
        self.reads = reads
        self.next = 0.0
        self.socket = socket.socket()
        if small_window:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.socket.setblocking(False)
        self.socket.connect_ex((place[0], place[1]))
        self.alive = True

    def turn(self, now):
        """Sends a piece and reads what is there."""
        try:
            if self.data and now >= self.next:
                self.data = self.data[self.socket.send(self.data[:self.piece]):]
                self.next = now + self.pause
        except BlockingIOError:
            pass
        except OSError:
            self.alive = False
        try:
            if self.alive and self.reads and not self.socket.recv(1 << 16):
                self.alive = False
        except BlockingIOError:
            pass
        except OSError:
            self.alive = False


def run_crowd(clients):
    """Lets all send until each has sent everything or was closed, and for half a second more; then closes them."""
    end = time.monotonic() + SEND_S
    while time.monotonic() < end:
        now = time.monotonic()
        busy = False
        for client in clients:
            if client.alive:
                client.turn(now)
                busy = busy or (client.alive and len(client.data) > 0)
        if not busy:
            end = min(end, now + 0.5)
        time.sleep(0.005)
    for client in clients:
        client.socket.close()


def head(place, number, more, method="POST"):
    path = place[2].format(0xabc0000000000000 + number)
    return f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\n{more}\r\n".encode()


def job_body(size=0):
    body = json.dumps({"spec": "20 x", "best_effort": True, "task_groups": [{"count": 1, "cpu": 3000, "mem_mb": 64, "estimate_ms": 20}]})
    return body.ljust(size).encode()


def whole(place, number):
    body = job_body(BODY)
    return Client(place, head(place, number, f"Content-Length: {len(body)}\r\n") + body)


def pieces(place, number):
    body = job_body(BODY)
    return Client(place, head(place, number, f"Content-Length: {len(body)}\r\n") + body, 4096)


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def chunked(place, number):
    body = job_body(BODY)
    parts = b"".join(chunk(body[at:at + 8192]) for at in range(0, len(body), 8192))
    return Client(place, head(place, number, "Transfer-Encoding: chunked\r\n") + parts)


def stops_short(place, number):
    body = job_body(BODY)
    return Client(place, head(place, number, f"Content-Length: {len(body)}\r\n") + body[:-1])


def chunked_stops_short(place, number):
    body = job_body(BODY)
    return Client(place, head(place, number, "Transfer-Encoding: chunked\r\n") + b"".join(chunk(body[at:at + 512]) for at in range(0, BODY, 512)))


def over_declared(place, number):
    return Client(place, head(place, number, f"Content-Length: {64 << 20}\r\n") + bytes(2 << 20))


def over_chunked(place, number):
    return Client(place, head(place, number, "Transfer-Encoding: chunked\r\n") + chunk(bytes(1 << 16)) * 32)


def json_fields(place, number):
    groups = ",".join(['{"count":1}'] * ((BODY - 100) // 12))
    body = f'{{"spec":"20 x","best_effort":true,"task_groups":[{groups}]}}'.encode()
    return Client(place, head(place, number, f"Content-Length: {len(body)}\r\n") + body)


def json_nested(place, number):
    body = b"[" * BODY
    return Client(place, head(place, number, f"Content-Length: {len(body)}\r\n") + body)


def header_fields(place, number):
    fields = "a:\r\n" * ((HEADER - 400) // 4)
    return Client(place, head(place, number, f"Content-Length: 10\r\n{fields}") + b"{}")


def pipeline(place, number):
    body = job_body()
    one = head(place, number, f"Content-Length: {len(body)}\r\n") + body
    return Client(place, one * 2000, reads=False, small_window=True)


def pipeline_reads(place, number):
    """Requests for pages, pipelined without reading the answers."""
    return Client(place, head(place, number, "", "GET") * 4000, reads=False, small_window=True)


def sends_slowly(place, number):
    body = job_body(BODY)
    return Client(place, head(place, number, f"Content-Length: {len(body)}\r\n") + body, 16, 0.05)


def reads_slowly(place, number):
    return Client(place, head(place, number, "", "GET") * 50, reads=False, small_window=True)


def stops_in_header(place, number):
    return Client(place, head(place, number, "X-Filler: " + "y" * (HEADER - 400))[:-4])


def half_way(place, number):
    body = job_body(BODY)
    return Client(place, head(place, number, f"Content-Length: {len(body)}\r\n") + body[:BODY // 2])


def frame_length(place, number):
    """A frame of the largest length between our processes, of which nothing follows."""
    return Client(place, (4 << 20).to_bytes(4, "big"))


def silent(place, number):
    return Client(place, b"")


# Each case: what its crowds send, and further settings. Descriptors are fewer than a crowd has connections where these are the aim.
CASES = {
    "whole_bodies": ([whole], {}),
    "bodies_in_pieces": ([pieces], {}),
    "bodies_in_chunks": ([chunked], {}),
    "bodies_that_stop_short": ([stops_short], {}),
    "chunks_that_stop_short": ([chunked_stops_short], {}),
    "bodies_far_over_the_limit": ([over_declared], {}),
    "chunks_far_over_the_limit": ([over_chunked], {}),
    "json_fields": ([json_fields], {}),
    "json_nesting": ([json_nested], {}),
    "header_fields": ([header_fields], {}),
    "pipelined_jobs": ([pipeline], {}),
    "pipelined_reads": ([pipeline_reads], {}),
    "slow_senders": ([sends_slowly], {}),
    "slow_readers": ([reads_slowly], {}),
    "stop_in_header": ([stops_in_header], {}),
    "stop_half_way": ([half_way], {}),
    "descriptors": ([silent], {"fds": 64}),
    "descriptors_and_bodies": ([stops_in_header, half_way], {"fds": 64}),
    "two_at_once": ([stops_short, header_fields], {}),
    "frames_between_processes": ([frame_length], {"places": {"links": (ENTRY, 17720, "")}}),
}


def status_of(ip, port, path, body=None, limit=10, deadline_ms=None):
    """@return the status, or None without an answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=limit)
    try:
        headers = {"Host": "desk.example"} | ({"X-Deadline-Ms": str(deadline_ms)} if deadline_ms else {})
        connection.request("GET" if body is None else "POST", path, body, headers)
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Watch:
    """Reads open descriptors all the time, and peak memory at the end."""

    def __init__(self, system):
        self.pids = {name: process.pid for name, process in system.processes.items()}
        self.descriptors = dict.fromkeys(self.pids, 0)
        self.stopping = False
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.stopping:
            for name, pid in self.pids.items():
                try:
                    self.descriptors[name] = max(self.descriptors[name], len(os.listdir(f"/proc/{pid}/fd")))
                except OSError:
                    pass
            time.sleep(0.02)

    def peak_kb(self, name):
        try:
            lines = pathlib.Path(f"/proc/{self.pids[name]}/status").read_text().splitlines()
        except OSError:
            return None
        return next((int(line.split()[1]) for line in lines if line.startswith("VmHWM")), None)

    def stop(self):
        self.stopping = True
        self.thread.join()


def first_answer(call):
    """@return 200 as soon as a call gives it, else the last status; refusals are allowed until it is calm."""
    end = time.monotonic() + CALM_S
    while True:
        status = call()
        if status == 200 or time.monotonic() > end:
            return status
        time.sleep(0.1)


def run_place(name, system, place_name, place, kinds):
    """Sends the crowds to a place while a job is in flight."""
    answers = []
    body = json.dumps({"spec": "1200 flight", "best_effort": True,
                       "task_groups": [{"count": 1, "cpu": 3000, "mem_mb": 64, "estimate_ms": 1200}]})
    job = f"{time.monotonic_ns():016x}"
    flight = threading.Thread(target=lambda: answers.append(status_of(ENTRY, 18161, f"/check/{job}", body, 60, 30000)))
    flight.start()
    time.sleep(0.3)
    count = CROWD if len(kinds) == 1 else CROWD_OF_TWO
    run_crowd([kind(place, number) for number in range(count) for kind in kinds])
    flight.join()
    good = answers == [200]
    ordinary = first_answer(lambda: status_of(ENTRY, 18161, f"/check/{time.monotonic_ns():016x}", job_body(), 10, 5000))
    ready = first_answer(lambda: status_of(ENTRY, 18167, "/medlarmill/readyz"))
    lives = all(process.poll() is None for process in system.processes.values())
    good = good and ordinary == 200 and ready == 200 and lives
    return check(good, f"{name}, {place_name}: in flight {answers}, ordinary {ordinary}, readiness {ready}, processes live {lives}")


def run_case(name, build, folder):
    kinds, settings = CASES[name]
    fds = settings.get("fds", MAX_FDS)
    (folder / name).mkdir(parents=True, exist_ok=True)
    system = System(build, folder / name, entries=1, agents=1, settings=[f"limits.memory_mb={MEMORY_MB}", f"limits.max_fds={fds}"])
    watch = None
    try:
        system.wait_ready()
        first_answer(lambda: status_of(ENTRY, 18161, f"/check/{time.monotonic_ns():016x}", job_body(), 10, 5000))
        watch = Watch(system)
        before = {process: watch.peak_kb(process) for process in watch.pids}
        good = True
        for place_name, place in settings.get("places", PLACES).items():
            good &= run_place(name, system, place_name, place, kinds)
        for process in watch.pids:
            peak = watch.peak_kb(process)
            good &= check(peak is not None and peak <= MEMORY_MB * 1024,
                          f"{name}: {process} peak memory {peak} kB of {MEMORY_MB * 1024}, {before[process]} before")
            good &= check(watch.descriptors[process] <= fds, f"{name}: {process} had {watch.descriptors[process]} descriptors open of {fds}")
        return good
    finally:
        if watch is not None:
            watch.stop()
        system.stop()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("cases", nargs="*", metavar="CASE", help=f"of {', '.join(CASES)}; all when none is named")
    parser.add_argument("--log", help="folder that keeps the logs")
    arguments = parser.parse_args()
    unknown = [name for name in arguments.cases if name not in CASES]
    if unknown:
        parser.error(f"unknown cases {unknown}")
    folder = pathlib.Path(arguments.log or tempfile.mkdtemp(prefix="medlarmill-"))
    results = {name: run_case(name, arguments.build, folder) for name in arguments.cases or CASES}
    failed = [name for name, good in results.items() if not good]
    print(f"hostile clients: {len(results) - len(failed)} passed, {len(failed)} failed {failed}; logs in {folder}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
