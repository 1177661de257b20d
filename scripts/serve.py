"""Runs a local system until it is interrupted, for trying the interfaces: serve.py [BUILD]."""

import json
import subprocess
import sys
import tempfile
import time

from local_system import ROOT, System


def main():
    build = sys.argv[1] if len(sys.argv) > 1 else f"{ROOT}/build"
    config = json.loads(subprocess.run([sys.executable, f"{ROOT}/scripts/example_config.py"], capture_output=True, text=True, check=True).stdout)
    with tempfile.TemporaryDirectory() as folder:
        system = System(build, folder)
        try:
            system.start(config)
            system.wait_ready()
            print(f"entries for callers at {', '.join(system.address(system.http_port(index)) for index in range(3))}; Ctrl-C stops", flush=True)
            while True:
                time.sleep(1)
        except KeyboardInterrupt:
            print("stopped as planned" if not system.stop() else "some processes did not stop as planned")
        finally:
            system.kill()


if __name__ == "__main__":
    main()
