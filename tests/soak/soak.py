"""Overlapping faults on the real programs, chosen by a seed, with the promises checked from what callers and endpoints see.
Usage: soak.py BUILD [--seeds N,N,...] [--seconds S] [--log FOLDER]"""

import argparse
import http.client
import json
import pathlib
import random
import signal
import socket
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from platform_system import AGENTS, ENTRIES, Callers, System, check, config, submit  # noqa: E402
from proxy import Proxy  # noqa: E402

CALM_S = 5  # After the last fault; leases, resubmissions and redials are over by then.
LATE_WORK_S = 4  # Longest delay of a late order.


class Faults:
    """Begins and ends faults; each returns what ends it."""

    def __init__(self, system, proxies, choose):
        self.system = system
        self.proxies = proxies
        self.random = choose
        self.expected_ends = set()  # Processes that are stopped or killed on purpose at this time.
        self.lock = threading.Lock()
        self.kinds = {name[2:]: getattr(self, name) for name in dir(self) if name.startswith("f_")}

    def process(self, kind=None):
        return kind or self.random.choice([f"entry{n}" for n in range(ENTRIES)] + [f"agent{n}" for n in range(AGENTS)])

    def endpoint(self):
        return self.random.choice(list(self.system.endpoints.values()))

    def end_and_restart(self, name, number, pause):
        with self.lock:
            if name in self.expected_ends:
                return lambda: None
            self.expected_ends.add(name)
        self.system.signal(name, signal.SIGCONT)
        self.system.signal(name, number)

        def restart():
            self.system.restart(name, pause)
            with self.lock:
                self.expected_ends.discard(name)
        return restart

    def f_kill(self):
        return self.end_and_restart(self.process(), signal.SIGKILL, self.random.uniform(0, 0.8))

    def f_kill_all_entries(self):
        ends = [self.end_and_restart(f"entry{n}", signal.SIGKILL, 0.3) for n in range(ENTRIES)]
        return lambda: [end() for end in ends]

    def f_planned_stop(self):
        return self.end_and_restart(self.process(), signal.SIGTERM, 0.2)

    def f_pause(self):
        name = self.process()
        self.system.signal(name, signal.SIGSTOP)
        return lambda: self.system.signal(name, signal.SIGCONT)

    def f_reload(self):
        name = self.process()
        if name not in self.expected_ends:
            self.system.signal(name, signal.SIGHUP)
        return lambda: None

    def setting(self, owner, name, value, calm):
        setattr(owner, name, value)
        return lambda: setattr(owner, name, calm)

    def f_table_down(self):
        return self.setting(self.system.table, "down", True, False)

    def f_table_slow(self):
        return self.setting(self.system.table, "slow_s", 0.4, 0)

    def f_table_loses_answers(self):
        return self.setting(self.system.table, "lost", 0.5, 0)

    def f_table_forgets(self):
        return self.setting(self.system.table, "forget", True, False)

    def f_table_turns_away(self):
        away = {f"127.0.0.{11 + self.random.randrange(ENTRIES)}", f"127.0.0.{21 + self.random.randrange(AGENTS)}"}
        return self.setting(self.system.table, "turned_away", away, set())

    def f_configuration(self):
        self.system.version += self.random.randint(1, 9)
        self.system.table.put("op", "config", json.dumps(config(self.system.version, ["check"])).encode())
        return lambda: None

    def f_endpoint_reborn(self):
        self.endpoint().reborn()
        return lambda: None

    def f_endpoint_late(self):
        return self.setting(self.endpoint(), "late", 0.3, 0)

    def f_endpoint_loses_answers(self):
        return self.setting(self.endpoint(), "lost", 0.3, 0)

    def f_endpoint_fails(self):
        return self.setting(self.endpoint(), "failing", 0.5, 0)

    def f_endpoint_slow(self):
        return self.setting(self.endpoint(), "slow", 4, 1)

    def f_link_delayed(self):
        return self.setting(self.random.choice(self.proxies), "delay_s", 0.05, 0)

    def f_link_cut(self):
        which = self.random.choice([{"to"}, {"from"}, {"to", "from"}])
        return self.setting(self.random.choice(self.proxies), "dropped", which, set())

    def f_link_reset(self):
        self.random.choice(self.proxies).reset()
        return lambda: None


class OperatorsAndClients(Faults):
    """Evacuations, cancellations and clients that misbehave. They have a random generator of their own, so that the faults of earlier seeds
    stay what they were."""

    def __init__(self, system, callers, choose):
        super().__init__(system, [], choose)
        self.callers = callers
        self.kinds = {name[2:]: getattr(self, name) for name in dir(self) if name.startswith("o_")}

    def o_evacuation(self):
        row = "evacuate/" + self.random.choice("abc")
        self.system.table.put("op", row, b"{}")
        return lambda: self.system.table.remove("op", row)

    def o_evacuated_for_a_moment(self):
        self.o_evacuation()()
        return lambda: None

    def o_cancellation(self):
        if self.callers.tasks:
            connection = http.client.HTTPConnection(f"127.0.0.{11 + self.random.randrange(ENTRIES)}", 18161, timeout=1.5)
            try:
                connection.request("DELETE", "/check/" + self.random.choice(list(self.callers.tasks)[-20:]), headers={"Host": "desk.example"})
            except OSError:
                connection.close()
        return lambda: None

    def crowd(self, head, body):
        clients = []
        for _ in range(40):
            try:
                client = socket.create_connection((f"127.0.0.{11 + self.random.randrange(ENTRIES)}", 18161), timeout=0.5)
                client.setblocking(False)
                client.send(f"POST /check/{self.random.getrandbits(64):016x} HTTP/1.1\r\nHost: desk.example\r\n{head}\r\n".encode() + body)
                clients.append(client)
            except OSError:
                continue
        return lambda: [client.close() for client in clients]

    def o_bodies_that_stop_short(self):
        return self.crowd("Content-Length: 262144\r\n", b" " * 200_000)

    def o_headers_that_stop_short(self):
        return self.crowd("X-Field: 1\r\n" * 50 + "X-Last: ", b"")


def unexpected_ends(system, faults):
    return [name for name, process in system.processes.items() if process.poll() is not None and name not in faults.expected_ends]


def play(system, faults, others, seconds):
    """Overlapping faults, two to four a second, and others once a second. @return processes that ended by themselves."""
    ended = []
    threads = []
    until = time.monotonic() + seconds
    next_other = time.monotonic()
    while time.monotonic() < until:
        if time.monotonic() >= next_other:
            next_other += 1
            finish = others.kinds[others.random.choice(sorted(others.kinds))]()
            threads.append(threading.Timer(others.random.uniform(0.1, 2.5), finish))
            threads[-1].start()
        kind = faults.random.choice(sorted(faults.kinds))
        span = faults.random.uniform(0.1, 2.5)
        finish = faults.kinds[kind]()
        threads.append(threading.Timer(span, finish))
        threads[-1].start()
        ended += unexpected_ends(system, faults)
        time.sleep(faults.random.uniform(0.2, 0.6))
    for thread in threads:
        thread.join()
    return ended


def soak(build, seed, seconds, folder):
    choose = random.Random(seed)
    random.seed(seed)
    system = System(build, folder, through=Proxy)
    faults = Faults(system, system.proxies, choose)
    callers = Callers(system, seed)
    try:
        system.wait_ready()
        loader = threading.Thread(target=callers.load, args=(seconds, 12))
        loader.start()
        ended = play(system, faults, OperatorsAndClients(system, callers, random.Random(-seed - 1)), seconds)
        loader.join()
        callers.finish()
        time.sleep(CALM_S)
        system.wait_ready(10)
        served = [submit(number, f"{number:016x}", 50, 2) for number in range(ENTRIES)]
        time.sleep(LATE_WORK_S)
        oracle = system.oracle
        untrue = [job for job, asked in callers.refused.items() if any(start >= asked for start in oracle.starts.get(job, []))]
        partial = [job for job, answer in callers.results.items()
                   if answer is not None and answer[0] == 200 and "completed" in answer[1] and len(oracle.done.get(job, ())) < callers.tasks[job]]
        good = check(not oracle.violations, f"seed {seed}: no two runs of a task at one time {oracle.violations[:3]}")
        good &= check(not untrue, f"seed {seed}: what was refused as not run has not run {untrue[:3]}")
        good &= check(not partial, f"seed {seed}: what was answered as complete is whole {partial[:3]}")
        good &= check(all(answer is not None and answer[0] == 200 for answer in served), f"seed {seed}: afterwards every entry serves {served}")
        good &= check(not ended, f"seed {seed}: no process ends by itself {ended[:3]}")
        answers = [answer[0] if answer else None for answer in callers.results.values()]
        print(f"seed {seed}: {len(answers)} jobs, {answers.count(200)} served, {len(callers.refused)} refused; logs in {folder}", flush=True)
        return good
    finally:
        system.stop()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--seeds", default="1,2", help="comma-separated, or FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--log", help="folder that keeps the logs")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last) + 1) if last else [int(seed) for seed in arguments.seeds.split(",")]
    folder = pathlib.Path(arguments.log or tempfile.mkdtemp(prefix="medlarmill-soak-"))
    failed = []
    for seed in seeds:
        (folder / str(seed)).mkdir(parents=True, exist_ok=True)
        if not soak(arguments.build, seed, arguments.seconds, folder / str(seed)):
            failed.append(seed)
    print(f"soak: {len(seeds) - len(failed)} passed, {len(failed)} failed {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
