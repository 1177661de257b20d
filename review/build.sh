#!/bin/sh
# Prepares the stand-ins of the cases, which are Python programs of this folder and need no packages; the project's programs come from the
# build of the deploy file, or from the folder that REVIEW_PROGRAMS names.
set -eu
cd "$(dirname "$0")/.."
programs=${REVIEW_PROGRAMS:-target}
for program in "$programs/medlarmill-entry" "$programs/medlarmill-agent"; do
    [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml first"; exit 1; }
done
python3 -c 'import ast, pathlib, sys, tomllib
for path in pathlib.Path("review").rglob("*.py"):
    ast.parse(path.read_text(), str(path))'
