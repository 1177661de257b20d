"""Faults on the real programs behind a stand-in of the users' platform. Usage: platform_faults.py BUILD [--log FOLDER]"""

import argparse
import http.client
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

from platform_system import ENTRIES, Callers, System, check, config, judge, metric, submit

EVACUATE_S = 5  # No start in an evacuated zone later than this after the table acknowledged it.


def quiet(system):
    callers = Callers(system, 1)
    callers.load(2, 20)
    return judge("quiet", system, callers, 0)


def bad_input(system):
    def status(method, path, body, host="desk.example"):
        connection = http.client.HTTPConnection("127.0.0.11", 18161, timeout=3)
        connection.request(method, path, body, {"Host": host})
        code = connection.getresponse().status
        connection.close()
        return code

    good = check(status("POST", "/check/0123456789abcdef", "{") == 400, "bad input: a body that is no JSON gets 400")
    good &= check(status("POST", "/check/short", "{}") == 400, "bad input: a path without an id gets 400")
    good &= check(status("POST", "/none/0123456789abcdef", "{}") == 404, "bad input: an unknown queue gets 404")
    kept = json.dumps({"spec": "1", "task_groups": [{"count": 1}]})
    good &= check(status("POST", "/check/0123456789abcdef", kept) == 503, "bad input: a job that must be kept is refused as not run")
    good &= check(status("POST", "/check/0123456789abcdef", "x" * 300000) == 413, "bad input: too large a body gets 413")
    good &= check(status("GET", "/check/0123456789abcdef", None) == 410, "bad input: an unknown job gets 410")
    return good & check(status("GET", "/check/", None) == 200, "a queue tells what is pending")


def entries_paused(system):
    """Three entries stand still in turn for 2.5 s under load."""
    callers = Callers(system, 2)
    loader = threading.Thread(target=callers.load, args=(8, 12))
    loader.start()
    for number in range(ENTRIES):
        system.signal(f"entry{number}", signal.SIGSTOP)
        time.sleep(2.5)
        system.signal(f"entry{number}", signal.SIGCONT)
    loader.join()
    good = judge("entries paused in turn", system, callers, 0.15)
    answers = [submit(number, f"{number:016x}", 50, 2) for number in range(ENTRIES)]
    return good & check(all(answer is not None and answer[0] == 200 for answer in answers), f"a new id is served at every entry {answers}")


def entry_killed(system):
    callers = Callers(system, 3)
    loader = threading.Thread(target=callers.load, args=(4, 15))
    loader.start()
    for number in range(2):
        time.sleep(1)
        system.signal(f"entry{number}", signal.SIGKILL)
        system.restart(f"entry{number}", 0.3)
    loader.join()
    return judge("entries killed", system, callers, 0.1)


def agent_paused_and_killed(system):
    callers = Callers(system, 4)
    loader = threading.Thread(target=callers.load, args=(5, 12))
    loader.start()
    time.sleep(0.5)
    system.signal("agent0", signal.SIGSTOP)
    time.sleep(1.5)
    system.signal("agent1", signal.SIGKILL)
    system.restart("agent1", 0.3)
    system.signal("agent0", signal.SIGCONT)
    loader.join()
    return judge("an agent paused, another killed", system, callers, 0.1)


def all_killed_without_table(system):
    """All processes are killed at once; the table comes back a second after they do."""
    system.table.down = True
    for process in system.processes.values():
        process.kill()
    for name in list(system.processes):
        system.restart(name, 0)
    time.sleep(1)
    system.table.down = False
    system.wait_ready(10)
    callers = Callers(system, 5)
    callers.load(1.5, 12)
    return judge("all killed while the table is away", system, callers, 0)


def configuration_changes(system):
    system.table.put("op", "config", json.dumps(config(9, ["check", "new"])).encode())
    time.sleep(1.5)
    good = check(all(submit(n, f"a{n:015x}", 20, 1, "new")[0] == 200 for n in range(ENTRIES)), "an added queue is served at every entry")
    system.table.put("op", "config", json.dumps(config(12, ["check"])).encode())
    time.sleep(1.5)
    return good & check(all(submit(n, f"b{n:015x}", 20, 1, "new")[0] == 404 for n in range(ENTRIES)), "a dropped queue gets 404 at every entry")


def configuration_series(system):
    """Entries that read each change from the table get no copies of it from each other; one that the table turns away gets it from them."""
    changes = 20
    before = sum(metric(number, 'entry_config_documents_total{source="peer"') for number in range(ENTRIES))
    for version in range(20, 20 + changes):
        system.table.put("op", "config", json.dumps(config(version, ["check"] + [f"many{route}" for route in range(300)])).encode())
        time.sleep(0.1)
    time.sleep(1)
    copies = sum(metric(number, 'entry_config_documents_total{source="peer"') for number in range(ENTRIES)) - before
    good = check(copies <= changes, f"changes in series: {copies:.0f} copies from peers for {changes} changes at {ENTRIES} entries")
    system.table.turned_away.add("127.0.0.11")
    time.sleep(1.2)  # The watch that the entry has open ends.
    system.table.put("op", "config", json.dumps(config(60, ["check"])).encode())
    time.sleep(1.5)
    versions = [metric(number, "entry_config_version") for number in range(ENTRIES)]
    given = metric(0, 'entry_config_documents_total{source="peer",result="newer"')
    system.table.turned_away.clear()
    time.sleep(1.5)  # The entry lists the table and watches it again: the next test looks at reads after a watch.
    good &= check(given >= 1, f"an entry that the table turns away gets documents from peers: {given:.0f}")
    return good & check(versions == [60] * ENTRIES, f"an entry that the table turns away has the newest version: {versions}")


def table_connections_silent(system):
    """The connections to the table go silent for good, new ones work; a change is in force at every entry, read over new connections."""
    system.table.silent_before = time.monotonic()
    system.table.unheard.clear()
    system.table.put("op", "config", json.dumps(config(70, ["check"])).encode())
    time.sleep(3)
    versions = [metric(number, "entry_config_version") for number in range(ENTRIES)]
    again = [query["table"] for _, path, query in system.table.unheard if path.endswith("rows-get") and query["table"] == "op"]
    system.table.silent_before = 0
    good = check(versions == [70] * ENTRIES, f"silent connections: all entries have the newest version {versions}")
    return good & check(not again, f"silent connections: {len(again)} reads of the configuration over a connection as old as the silent one")


def crashing_task(system):
    """A task crashes each endpoint that starts it: its job fails after two crashes, and so at another entry, without a further start."""
    job = "c" * 16
    answer = submit(0, job, 300, 1, more=" crash")
    crashes = system.oracle.crashes.get(job, 0)
    good = check(answer == (200, '{"state":"failed"}\n') and crashes == 2, f"a crashing task is given up after two crashes: {answer}, {crashes}")
    again = [submit(number, job, 300, 1, more=" crash") for number in range(ENTRIES)]
    crashes = system.oracle.crashes[job]
    return good & check(again == [answer] * ENTRIES and crashes == 2, f"it is not started again through any entry: {again}, {crashes}")


def zone_evacuated(system):
    """A zone is evacuated under load, while the table turns one entry away: the others serve, and work returns with the zone."""
    def newest(name):
        return max(system.oracle.starts_at.get(name, [0]))

    callers = Callers(system, 7)
    loader = threading.Thread(target=callers.load, args=(17, 20))
    loader.start()
    time.sleep(1.5)
    good = check(newest("i-1") > time.monotonic() - 1.5, "evacuation: the zone has work before")
    system.table.turned_away.add("127.0.0.11")
    time.sleep(1.2)  # The watch that the entry has open ends.
    began = time.monotonic()
    system.table.put("op", "evacuate/b", b"{}")
    system.table.put("op", "evacuate/no such zone", b"{}")
    time.sleep(8)
    late = [at - began for at in system.oracle.starts_at["i-1"] if at > began + EVACUATE_S]
    good &= check(not late, f"evacuation: no start in the zone {EVACUATE_S} s after it; the newest {newest('i-1') - began:.3f} s after")
    known = [metric(number, "entry_zones_evacuated") for number in range(ENTRIES)]
    good &= check(known == [2] * ENTRIES, f"evacuation: every entry knows it, also the one without the table {known}")
    answer = json.loads(subprocess.run([system.build / "medlarmillctl", "--json", "zones", "127.0.0.22:9464"], capture_output=True, timeout=10).stdout)
    good &= check([(zone["zone"], zone["runs_left"]) for zone in answer["evacuated"]] == [("b", 0), ("no%20such%20zone", 0)],
                  f"evacuation: medlarmillctl prints what an agent of the zone knows {answer}")
    returned = time.monotonic()
    for zone in ("b", "no such zone"):
        system.table.remove("op", f"evacuate/{zone}")
    loader.join()
    system.table.turned_away.clear()
    first = [at - returned for at in system.oracle.starts_at["i-1"] if at > returned]
    good &= check(first, f"evacuation: work returns with the zone, first after {min(first, default=0):.3f} s, {len(first)} starts")
    return good & judge("evacuation", system, callers, 0)


def planned_stop(system):
    """A stop with connections in use loses no answer, and the process ends by itself with code 0."""
    callers = Callers(system, 6)
    loader = threading.Thread(target=callers.load, args=(1.5, 15))
    loader.start()
    time.sleep(0.7)
    system.signal("entry1", signal.SIGTERM)
    system.signal("agent2", signal.SIGTERM)
    loader.join()
    callers.finish()
    good = judge("planned stop", system, callers, 0)
    codes = [system.processes["entry1"].wait(7), system.processes["agent2"].wait(7)]
    good &= check(codes == [0, 0], f"planned stop: exit codes {codes}")
    for name in ("entry1", "agent2"):
        system.start(name)
    return good


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--log", help="folder that keeps the logs")
    arguments = parser.parse_args()
    folder = arguments.log or tempfile.mkdtemp(prefix="medlarmill-")
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    system = System(arguments.build, folder)
    passed = failed = 0
    try:
        system.wait_ready()
        time.sleep(1)
        for test in (quiet, bad_input, configuration_changes, configuration_series, table_connections_silent, crashing_task, entry_killed, entries_paused, agent_paused_and_killed, zone_evacuated, planned_stop,
                     all_killed_without_table):
            good = test(system)
            passed, failed = passed + bool(good), failed + (not good)
            time.sleep(0.5)
    finally:
        system.stop()
    print(f"platform faults: {passed} passed, {failed} failed; logs in {folder}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
