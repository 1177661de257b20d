"""Runs traces against a whole local system and writes the results: experiment.py BUILD OUT TRACE.json [TRACE.json...]

Options: --seed N, --ids (jobs get ids of their own, so two thirds are forwarded), --entry-flags "...", --agent-flags "...",
--fail-endpoint N (that endpoint fails every task), --fault KIND@SECONDS (entry-kill, agent-kill, agent-stop, entry-stop).
Two result files are compared with compare_results.py.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import threading
import time

from local_system import ROOT, System, request, signal


def metric(text, name):
    """Returns the value of one metric of a /metrics page."""
    for line in text.splitlines():
        if line.startswith("medlarmill_" + name + " "):
            return float(line.split()[-1])
    return 0.0


def sum_metrics(text, prefix):
    """Sums all metrics that start with a prefix."""
    return sum(float(line.split()[-1]) for line in text.splitlines() if line.startswith("medlarmill_" + prefix))


def collect(system):
    """Sums the message and retry counters of all running processes."""
    totals = {"work_frames": 0.0, "messages": 0.0, "grants": 0.0, "retries": 0.0, "credit_requests": 0.0}
    for index, process in enumerate(system.entries):
        if not process.running():
            continue
        text = request(system.http_port(index), "GET", "/metrics")[1]
        totals["work_frames"] += metric(text, "entry_work_frames_sent")
        totals["messages"] += metric(text, "entry_messages_sent")
        totals["grants"] += metric(text, "entry_grants_total")
        totals["retries"] += sum_metrics(text, "entry_retries_total")
        totals["credit_requests"] += metric(text, "entry_credit_requests_total")
    for index, process in enumerate(system.agents):
        if not process.running():
            continue
        text = request(system.agent_port(index), "GET", "/metrics")[1]
        totals["work_frames"] += metric(text, "agent_work_frames_sent")
        totals["messages"] += metric(text, "agent_messages_sent")
    return totals


def cpu_seconds(processes):
    """Returns user and system seconds used so far by running processes."""
    total = 0.0
    for process in processes:
        if process.running():
            with open(f"/proc/{process.handle.pid}/stat", encoding="ascii") as stat:
                fields = stat.read().rsplit(")", 1)[1].split()
            total += (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return total


def inject(system, fault):
    """Brings about one fault after its time."""
    kind, seconds = fault.split("@")
    time.sleep(float(seconds))
    process = system.entries[2] if kind.startswith("entry") else system.agents[10]
    process.send(signal.SIGKILL if kind.endswith("kill") else signal.SIGTERM)


def run_trace(system, path, options, csv):
    """Plays one trace and returns its summary with the message counters."""
    entries = ",".join(system.address(system.http_port(index)) for index in range(system.entry_count if not options.surviving else 2))
    arguments = [system.program("medlarmill-load"), "--entries", entries, "--csv", csv]
    if options.ids:
        arguments += ["--id-prefix", f"run-{time.time_ns()}"]
    if options.seed is not None:
        arguments += ["--seed", str(options.seed)]
    before = collect(system)
    cpu = cpu_seconds(system.entries), cpu_seconds(system.agents)
    if options.fault:
        threading.Thread(target=inject, args=(system, options.fault), daemon=True).start()
    begun = time.monotonic()
    output = subprocess.run(arguments + [path], stdout=subprocess.PIPE, text=True, check=True).stdout
    seconds = time.monotonic() - begun
    after = collect(system)
    summary = json.loads(output)
    tasks = max(1, summary["tasks_complete"])
    difference = {key: after[key] - before[key] for key in after}
    summary["work_frames_per_task"] = difference["work_frames"] / tasks
    summary["retries_per_grant"] = difference["retries"] / max(1.0, difference["grants"])
    summary["credit_requests_per_task"] = difference["credit_requests"] / tasks
    summary["entry_cores"] = (cpu_seconds(system.entries) - cpu[0]) / seconds
    summary["agent_cores"] = (cpu_seconds(system.agents) - cpu[1]) / seconds
    return summary


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("out")
    parser.add_argument("traces", nargs="+")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--ids", action="store_true")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--entry-flags", default="")
    parser.add_argument("--agent-flags", default="")
    parser.add_argument("--fail-endpoint", type=int)
    parser.add_argument("--fault")
    parser.add_argument("--surviving", action="store_true", help="use only the entries that no fault hits")
    parser.add_argument("--base-port", type=int, default=21000)
    options = parser.parse_args()
    config = json.loads(subprocess.run([sys.executable, f"{ROOT}/scripts/example_config.py"], capture_output=True, text=True, check=True).stdout)
    os.makedirs(options.out, exist_ok=True)
    for path in options.traces:
        name = os.path.splitext(os.path.basename(path))[0]
        with tempfile.TemporaryDirectory() as folder:
            flags = {options.fail_endpoint: ["--fail-all"]} if options.fail_endpoint is not None else {}
            system = System(options.build, folder, base_port=options.base_port, entries=options.entries, endpoint_flags=flags,
                            entry_flags=options.entry_flags.split(), agent_flags=options.agent_flags.split())
            try:
                system.start(config)
                system.wait_ready()
                summary = run_trace(system, path, options, os.path.join(options.out, name + ".csv"))
                starts = system.journal()
                summary["starts_twice"] = len(starts) - len(set(starts))
            finally:
                system.kill()
        with open(os.path.join(options.out, name + ".json"), "w", encoding="utf-8") as file:
            json.dump(summary, file, indent=2)
        ratio = summary["response_over_ideal"]
        small = summary["response_over_ideal_small_jobs"]
        print(f"{name}: ratio p50 {ratio['p50']:.3f} p90 {ratio['p90']:.3f} p99 {ratio['p99']:.3f}, small jobs p50 {small['p50']:.3f} p99 {small['p99']:.3f}, "
              f"frames/task {summary['work_frames_per_task']:.2f}, retries/grant {summary['retries_per_grant']:.4f}, "
              f"credit requests/task {summary['credit_requests_per_task']:.3f}, answers {summary['answers']}, wrong {summary['answers_wrong']}, "
              f"twice {summary['starts_twice']}, entry cores {summary['entry_cores']:.3f}, agent cores {summary['agent_cores']:.3f}", flush=True)


if __name__ == "__main__":
    main()
