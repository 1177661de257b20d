"""A TCP proxy on loopback whose connections can be delayed, cut one way, silenced and reset."""

import socket
import struct
import threading
import time


class Proxy:
    """Passes connections from one address to another."""

    def __init__(self, listen, target):
        self.target = target
        self.delay_s = 0
        self.dropped = set()  # Directions whose bytes vanish: "to", "from".
        self.open = []
        self.lock = threading.Lock()
        self.server = socket.create_server(listen, backlog=128)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                caller, _ = self.server.accept()
                callee = socket.create_connection(self.target, timeout=2)
                callee.settimeout(None)
            except OSError:
                if self.server.fileno() < 0:
                    return
                caller.close()
                continue
            with self.lock:
                self.open = [pair for pair in self.open if pair[0].fileno() >= 0] + [(caller, callee)]
            threading.Thread(target=self.pass_on, args=(caller, callee, "to"), daemon=True).start()
            threading.Thread(target=self.pass_on, args=(callee, caller, "from"), daemon=True).start()

    def pass_on(self, source, sink, direction):
        try:
            while data := source.recv(65536):
                time.sleep(self.delay_s)
                if direction not in self.dropped:
                    sink.sendall(data)
        except OSError:
            pass
        for side in (source, sink):
            try:
                side.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            side.close()

    def reset(self):
        """Resets every open connection."""
        with self.lock:
            for pair in self.open:
                for side in pair:
                    try:
                        side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        side.shutdown(socket.SHUT_RDWR)
                    except OSError:
                        pass

    def close(self):
        self.server.shutdown(socket.SHUT_RDWR)
        self.server.close()
        self.reset()
