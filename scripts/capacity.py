"""Reruns every measurement of docs/CAPACITY.md and prints it: capacity.py [BUILD]."""

import json
import subprocess
import sys
import tempfile
import time

from experiment import cpu_seconds, metric
from local_system import ROOT, System, request

SECONDS = 8
SIZES = (5, 11, 33, 66)


def resident_mb(process):
    """Returns the resident memory of a process in MB."""
    with open(f"/proc/{process.handle.pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def control_bytes(system):
    """Returns control bytes sent so far by the first entry and the first agent."""
    entry = metric(request(system.http_port(0), "GET", "/metrics")[1], "entry_control_bytes_sent")
    agent = metric(request(system.agent_port(0), "GET", "/metrics")[1], "agent_control_bytes_sent")
    return entry, agent


def idle(build, config, endpoints):
    """Measures a system without work."""
    with tempfile.TemporaryDirectory() as folder:
        system = System(build, folder, base_port=27000, endpoints=endpoints)
        try:
            system.start(config)
            system.wait_ready(60)
            time.sleep(2)
            bytes_before, entries, agents = control_bytes(system), cpu_seconds(system.entries), cpu_seconds(system.agents)
            time.sleep(SECONDS)
            bytes_after = control_bytes(system)
            entry_core = (cpu_seconds(system.entries) - entries) / SECONDS / len(system.entries)
            agent_core = (cpu_seconds(system.agents) - agents) / SECONDS / len(system.agents)
            print(f"idle, 3 entries, {endpoints:3} endpoints: entry {entry_core * 100:.2f}% of a core, {resident_mb(system.entries[0]):.1f} MB, "
                  f"{(bytes_after[0] - bytes_before[0]) / SECONDS:.0f} control bytes/s sent; agent {agent_core * 100:.2f}% of a core, "
                  f"{resident_mb(system.agents[0]):.1f} MB, {(bytes_after[1] - bytes_before[1]) / SECONDS:.0f} control bytes/s sent", flush=True)
        finally:
            system.kill()


def main():
    build = sys.argv[1] if len(sys.argv) > 1 else f"{ROOT}/build"
    config = json.loads(subprocess.run([sys.executable, f"{ROOT}/scripts/example_config.py"], capture_output=True, text=True, check=True).stdout)
    subprocess.run([f"{build}/decision-bench"], check=True)
    for endpoints in SIZES:
        idle(build, config, endpoints)


if __name__ == "__main__":
    main()
