"""Kills, pauses and restarts real processes under load, then compares the endpoints' journal of starts with the callers' answers.

faults.py BUILD [--tasks N] [--seed N] [--base-port P]. Only counts are compared, never times: starts a task at most 1, answers wrong 0,
answers missing 0, refused yet started 0. Answers may be failed or unknown; those are counted and printed.
"""

import argparse
import collections
import json
import os
import random
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))

from local_system import ROOT, System, request, signal  # noqa: E402

WORKERS = 24
TASKS_PER_JOB = 5


class Callers:
    """Submits jobs at entries chosen at random; resubmits the same body elsewhere until there is a final answer or patience ends."""

    def __init__(self, system, seed, tasks):
        self.system = system
        self.random = random.Random(seed)
        self.remaining = tasks // TASKS_PER_JOB
        self.lock = threading.Lock()
        self.answers = collections.defaultdict(list)
        self.bodies = {}
        self.missing = []

    def next_job(self):
        with self.lock:
            if self.remaining == 0:
                return None
            self.remaining -= 1
            name = f"job-{self.remaining}"
            tasks = [{"payload": {"run_ms": self.random.choice([2, 5, 20]), "echo": f"{name}/{index}"}} for index in range(TASKS_PER_JOB)]
            self.bodies[name] = {"id": name, "kind": "reservation", "deadline_ms": 20000, "tasks": tasks}
            order = self.random.sample(range(self.system.entry_count), self.system.entry_count) * 20
            return name, order

    def run(self):
        while (job := self.next_job()) is not None:
            name, order = job
            for entry in order:
                try:
                    _, answer = request(self.system.http_port(entry), "POST", f"/v1/services/{self.system.service}/jobs", self.bodies[name], timeout=40)
                except (OSError, ValueError):
                    time.sleep(0.2)
                    continue
                if not isinstance(answer, dict):
                    continue
                with self.lock:
                    self.answers[name].append(answer)
                if answer["kind"] in ("complete", "failed", "refused_not_run"):
                    break
                if answer.get("reason") == "takeover_incomplete":
                    break
                time.sleep(0.2)
            else:
                with self.lock:
                    self.missing.append(name)


def disturb(system, seed, stop, counts):
    """Injects one fault after another until told to stop."""
    chance = random.Random(seed)
    while not stop.wait(chance.uniform(0.5, 1.5)):
        kind = chance.choice(["kill entry", "kill agent", "pause entry", "pause agent", "store outage", "store reply lost"])
        counts[kind] += 1
        if kind.startswith("store"):
            request(system.platform_port, "PUT", "/faults", {"outage": True} if kind == "store outage" else {"lose_replies": 1})
            stop.wait(chance.uniform(0.5, 2))
            request(system.platform_port, "PUT", "/faults", {"outage": False})
            continue
        process = chance.choice(system.entries if kind.endswith("entry") else system.agents)
        process.send(signal.SIGKILL if kind.startswith("kill") else signal.SIGSTOP)
        stop.wait(chance.uniform(0.2, 5))
        if kind.startswith("kill"):
            process.wait(10)
            process.start()
        else:
            process.send(signal.SIGCONT)


def compare(callers, journal):
    """Returns what is wrong, by kind."""
    starts = collections.Counter(journal)
    started = {name for name, _ in starts}
    wrong = collections.Counter()
    for start, count in starts.items():
        wrong["started more than once"] += count > 1
        if count > 1:
            print("started more than once:", start, count)
    for name, answers in callers.answers.items():
        finals = [answer for answer in answers if answer["kind"] in ("complete", "failed", "refused_not_run")]
        wrong["different final answers"] += len({json.dumps(answer, sort_keys=True) for answer in finals}) > 1
        for answer in finals:
            if answer["kind"] == "complete":
                echoes = [result.get("echo") for result in answer["results"]]
                wrong["answers wrong"] += echoes != [f"{name}/{index}" for index in range(TASKS_PER_JOB)]
            wrong["refused yet started"] += answer["kind"] == "refused_not_run" and name in started
    wrong["answers missing"] += len(callers.missing)
    return {kind: count for kind, count in wrong.items() if count}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--tasks", type=int, default=5000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--base-port", type=int, default=25000)
    options = parser.parse_args()
    config = json.loads(subprocess.run([sys.executable, f"{ROOT}/scripts/example_config.py"], capture_output=True, text=True, check=True).stdout)
    with tempfile.TemporaryDirectory() as folder:
        system = System(options.build, folder, base_port=options.base_port)
        try:
            system.start(config)
            system.wait_ready()
            callers = Callers(system, options.seed, options.tasks)
            stop = threading.Event()
            counts = collections.Counter()
            disturber = threading.Thread(target=disturb, args=(system, options.seed, stop, counts))
            disturber.start()
            threads = [threading.Thread(target=callers.run) for _ in range(WORKERS)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            stop.set()
            disturber.join()
            wrong = compare(callers, system.journal())
        finally:
            system.kill()
    kinds = collections.Counter(answer["kind"] + ("/" + answer["reason"] if "reason" in answer else "")
                                for answers in callers.answers.values() for answer in answers)
    print(f"{options.tasks} tasks, seed {options.seed}; faults {dict(counts)}; answers {dict(kinds)}")
    print("wrong:", wrong or "nothing")
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    main()
