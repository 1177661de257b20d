"""Runs the whole path on real processes: configuration, all request kinds, a job of many tasks, counters, planned stops."""

import json
import subprocess
import sys
import tempfile
import threading

import local_system
from local_system import ROOT, System, request


def check(condition, message):
    if not condition:
        raise AssertionError(message)


def run_kinds(system):
    """Submits one request of each kind at another entry and prints the answers."""
    for index, kind in enumerate(["availability-check", "reservation", "pickup-confirmation"]):
        body = {"id": f"demo-{kind}", "kind": kind, "payload": {"run_ms": 60, "echo": f"kit-{index}"}}
        status, answer = request(system.http_port(index), "POST", f"/v1/services/{system.service}/jobs", body)
        print(kind, status, json.dumps(answer))
        check(status == 200 and answer["kind"] == "complete", f"{kind}: not complete")
        check(answer["results"][0]["echo"] == f"kit-{index}", f"{kind}: answer of another request")
        again_status, again = request(system.http_port((index + 1) % 3), "POST", f"/v1/services/{system.service}/jobs", body)
        check((again_status, again) == (status, answer), f"{kind}: a resubmission through another entry gave another answer")


def run_job(system, count):
    """Submits a job of many tasks and checks every result."""
    tasks = [{"payload": {"run_ms": 50, "echo": number}} for number in range(count)]
    status, answer = request(system.http_port(0), "POST", f"/v1/services/{system.service}/jobs",
                             {"kind": "availability-check", "tasks": tasks})
    check(status == 200, f"job of {count} tasks: status {status} {answer}")
    check([result["echo"] for result in answer["results"]] == list(range(count)), "results are not whole and in order")
    print(f"job of {count} tasks: complete, id {answer['id']}")


def stop_under_load(system):
    """Stops one entry and one agent while requests run; none may be cut off."""
    outcomes = []

    def submit(number):
        body = {"id": f"drain-{number}", "kind": "reservation", "payload": {"run_ms": 400, "echo": number}}
        status, answer = request(system.http_port(1), "POST", f"/v1/services/{system.service}/jobs", body)
        outcomes.append((number, status, answer))

    threads = [threading.Thread(target=submit, args=(number,)) for number in range(60)]
    for thread in threads:
        thread.start()
    system.agents[0].send(local_system.signal.SIGTERM)
    system.entries[2].send(local_system.signal.SIGTERM)
    for thread in threads:
        thread.join()
    for number, status, answer in outcomes:
        check(status == 200 and answer["results"][0]["echo"] == number, f"cut off by a planned stop: {number} {status} {answer}")
    check(system.agents[0].wait(60) == 0, "the agent did not stop as planned")
    check(system.entries[2].wait(60) == 0, "the entry did not stop as planned")
    print("planned stop of an entry and an agent under load: 60 of 60 requests answered")


def main():
    build = sys.argv[1] if len(sys.argv) > 1 else f"{ROOT}/build"
    base_port = int(sys.argv[2]) if len(sys.argv) > 2 else 21000
    config = json.loads(subprocess.run([sys.executable, f"{ROOT}/scripts/example_config.py"], capture_output=True, text=True, check=True).stdout)
    with tempfile.TemporaryDirectory() as folder:
        system = System(build, folder, base_port=base_port)
        try:
            system.start()
            system.submit_config(config)
            system.wait_ready()
            run_kinds(system)
            run_job(system, 290)
            stop_under_load(system)
            starts = system.journal()
            check(len(starts) == len(set(starts)), "a task was started twice")
            print(f"{len(starts)} starts, none twice")
            text = request(system.http_port(0), "GET", "/metrics")[1]
            print("counters of entry-0:")
            print("\n".join(line for line in text.splitlines() if "_total" in line or "answer_ms" in line))
            bad = system.stop()
            check(not bad, f"did not stop as planned: {bad}")
        except BaseException:
            for process in system.entries + system.agents[:1]:
                with open(process.log_path, encoding="utf-8") as log:
                    print(f"--- {process.name}\n" + "".join(log.readlines()[-15:]), file=sys.stderr)
            raise
        finally:
            system.kill()
    print("demo passed")


if __name__ == "__main__":
    main()
