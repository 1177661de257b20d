#!/bin/sh
# Builds every stand-in that the scripts of review/6 and later start. All are Python programs: those of tests/ and of the cases are checked here.
cd "$(dirname "$0")/.." || exit 1
exec python3 - <<'END'
import ast
import pathlib

for name in ["tests/platform_standin.py", "tests/platform_system.py", *(f"review/{number}/case.py" for number in range(6, 11)), "review/seen/early-request/case.py"]:
    if not pathlib.Path(name).exists():
        continue
    ast.parse(pathlib.Path(name).read_text(), name)
END
