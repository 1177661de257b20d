#!/usr/bin/env bash
# Formatter, tests and demo on an existing build; ends with a line "N passed, N failed".
set -uo pipefail
build=${1:-build}
passed=0
failed=0

step() {
    local name=$1
    shift
    echo "== $name"
    if "$@"; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        echo "FAILED: $name"
    fi
}

check_format() {
    git ls-files '*.cpp' '*.h' | grep -v generated/ | xargs clang-format --dry-run -Werror
}

step "format" check_format
step "demo on real processes" python3 scripts/demo.py "$build"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
