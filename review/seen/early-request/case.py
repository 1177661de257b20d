"""Connections of clients are reset while they wait for their jobs; the clients hand the jobs in again: does a task run twice at the same time?"""

import http.client
import http.server
import json
import os
import pathlib
import random
import select
import socket
import struct
import sys
import tempfile
import threading
import time
import traceback

REVIEW = pathlib.Path(__file__).resolve().parent
ROOT = REVIEW.parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Figures of the site file chalkline-cairo and of our pages.
RESEND_S = 1.3  # retransmit_ms
RUN_MS = 3000  # Of each task; the site file has max = 8100 for kit-reserve.
WAIT_MS = 8000  # X-Deadline-Ms of the POST.
CLIENTS = 8  # At entry0; reset_conns with x = 0.5 resets half of their connections.


def free_network():
    """@return a loopback network on which the ports of the stand-ins can be bound."""
    numbers = list(range(20, 250))
    random.shuffle(numbers)
    for number in numbers:
        try:
            for ip, port in ((f"127.0.{number}.11", 9464), (f"127.0.{number}.11", 18161), (f"127.0.{number}.99", 18169),
                             (f"127.1.{number}.11", 18169), (f"127.0.{number}.21", 18165)):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return f"127.0.{number}"
        except OSError:
            continue
    sys.exit(2)


os.environ["MEDLARMILL_TEST_NETWORK"] = free_network()
sys.path.insert(0, str(ROOT / "tests"))
http.server.ThreadingHTTPServer.handle_error = lambda *_: None  # Connections that a stopped process breaks are no news.
from platform_system import NETWORK, System  # noqa: E402

BEGIN = time.monotonic()
RECORD = open(REVIEW / "record.txt", "w")
LOCK = threading.Lock()


def record(text):
    with LOCK:
        RECORD.write(f"{time.monotonic() - BEGIN:8.3f} {text}\n")
        RECORD.flush()


class Forwarder:
    """The platform's address for clients: forwards each connection to entry0, byte by byte, until it ends or is reset."""

    def __init__(self, port):
        self.broken = set()  # Clients' ends of the connections that are to be reset.
        self.server = socket.create_server((f"{NETWORK}.98", port))
        self.address = self.server.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, peer = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self.forward, args=(near, peer), daemon=True).start()

    def forward(self, near, peer):
        with near, socket.create_connection((f"{NETWORK}.11", 18161)) as far:
            for end in (near, far):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                for end in select.select([near, far], [], [], 0.01)[0]:
                    try:
                        data = end.recv(65536)
                        if not data:
                            return
                        (far if end is near else near).sendall(data)
                    except OSError:
                        return
                if peer in self.broken:
                    for end in (near, far):  # Closed with this option, both ends send a reset.
                        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return


class Client:
    """Hands a job in at entry0 and asks for its state on the same connection; when that is reset, it hands the job in again at entry1."""

    def __init__(self, number, asks, forwarder):
        self.number = number
        self.asks = asks
        self.job = f"{random.getrandbits(64):016x}"
        self.body = json.dumps({"spec": f"{RUN_MS} {self.job}", "best_effort": True,
                                "task_groups": [{"count": 1, "cpu": 3000, "mem_mb": 64, "estimate_ms": RUN_MS}]})
        self.connection = socket.create_connection(forwarder.address)
        self.peer = self.connection.getsockname()
        self.result = None

    def run(self):
        self.connection.sendall(f"POST /check/{self.job} HTTP/1.1\r\nHost: desk.example\r\nX-Deadline-Ms: {WAIT_MS}\r\n"
                                f"Content-Type: application/json\r\nContent-Length: {len(self.body)}\r\n\r\n{self.body}".encode())
        record(f"client {self.number} POST {self.job} to entry0")
        if self.asks:
            time.sleep(0.2)
            self.connection.sendall(f"GET /check/{self.job} HTTP/1.1\r\nHost: desk.example\r\n\r\n".encode())
            record(f"client {self.number} GET {self.job} on the same connection")
        self.connection.settimeout(WAIT_MS / 1000 + 1)
        received = b""
        try:
            while b'"state"' not in received and b'"error"' not in received:
                data = self.connection.recv(65536)
                if not data:
                    raise ConnectionError("ended")
                received += data
            self.result = received.split(b"\r\n")[0].decode()
            record(f"client {self.number} POST {self.job}: answer {self.result}")
            return
        except OSError as error:
            record(f"client {self.number} POST {self.job}: {type(error).__name__}")
        time.sleep(RESEND_S)
        again = http.client.HTTPConnection(f"{NETWORK}.12", 18161, timeout=WAIT_MS / 1000 + 1)
        record(f"client {self.number} POST {self.job} again, to entry1")
        again.request("POST", f"/check/{self.job}", self.body, {"Host": "desk.example", "X-Deadline-Ms": str(WAIT_MS)})
        response = again.getresponse()
        self.result = f"{response.status} {response.read().decode().strip()}"
        again.close()
        record(f"client {self.number} POST {self.job} again: answer {self.result}")


def play(system):
    """@return exit code."""
    system.wait_ready()
    time.sleep(1)
    forwarder = Forwarder(18160)
    clients = [Client(number, number % 2 == 0, forwarder) for number in range(CLIENTS)]
    threads = [threading.Thread(target=client.run) for client in clients]
    for thread in threads:
        thread.start()
    time.sleep(0.6)
    if TROUBLE:
        # Half of the connections: two clients that have asked for the state, and two that have not.
        for client in clients[:CLIENTS // 2]:
            record(f"the connection of client {client.number} is reset (reset_conns)")
            forwarder.broken.add(client.peer)
    for thread in threads:
        thread.join()
    forwarder.server.close()
    time.sleep(0.5)
    if any(client.result is None for client in clients):
        return 2
    doubled = []
    for client in clients:
        found = [text for text in system.oracle.violations if client.job in text]
        starts = [round(at - BEGIN, 3) for at in system.oracle.starts.get(client.job, [])]
        record(f"client {client.number}, {'asked for the state' if client.asks else 'POST only'}: starts at {starts}; two at a time: {found}")
        doubled += found
    record(f"TWICE: {len(doubled)}")
    print(f"{len(doubled)} tasks had two runs at the same time")
    return 1 if doubled else 0


def main():
    with tempfile.TemporaryDirectory() as folder:
        system = System(ROOT / "target", folder, agents=6, settings=[
            f"seeds={NETWORK}.11:18166,{NETWORK}.12:18166,{NETWORK}.13:18166", "heartbeat_ms=1500", "limits.cpu_share=0.25",
            "limits.memory_mb=260", "limits.max_fds=4100"])
        try:
            return play(system)
        finally:
            system.stop()


try:
    code = main()
except BaseException:  # A case that could not run has shown nothing.
    traceback.print_exc()
    code = 2
sys.exit(code)
