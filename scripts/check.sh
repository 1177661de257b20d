#!/usr/bin/env bash
# All checks on an existing build; ends with a line "N passed, N failed". The verdict never depends on timing.
set -uo pipefail
build=${1:-build}
jobs=$(nproc)
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

own_sources() {
    git ls-files "$@" | grep -v generated/
}

check_format() {
    own_sources '*.cpp' '*.h' | xargs clang-format --dry-run -Werror
}

# Programs that include HTTP and JSON headers take minutes each in the linter; the decisions and what they use are checked in full.
check_lint() {
    own_sources 'src/core/*.cpp' 'src/agent_logic/*.cpp' 'src/entry_logic/*.cpp' 'src/repeatable/*.cpp' 'src/net/*.cpp' 'src/daemon/*.cpp' |
        xargs -P "$jobs" -n 2 clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option
}

# Builds targets with a sanitizer and runs tests there: sanitized NAME SANITIZERS TARGETS COMMAND...
sanitized() {
    local folder="$build-$1" sanitizers=$2 targets=$3
    shift 3
    cmake -G Ninja -B "$folder" -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DMEDLARMILL_SANITIZE="$sanitizers" >/dev/null &&
        ninja -C "$folder" -j "$jobs" --quiet $targets && (cd "$folder" && "$@")
}

# The sanitized fuzz run is short: the same seed, fewer runs.
address_tests() {
    ./unit-tests && ./platform-tests &&
        RC_PARAMS="seed=20261204 max_success=60 max_size=80" ./fuzz-tests && RC_PARAMS="seed=20261204 max_success=40 max_size=80" ./repeat-tests
}

thread_tests() {
    ./unit-tests -tc="a ring*" && TSAN_OPTIONS=exitcode=66 python3 ../scripts/demo.py .
}

# Each script exits with 0 if the rule held. The fourth needs an agent that links again before a heartbeat, so none runs beside another.
review_cases() {
    local held=0
    for case in 1 2 3 4 5; do
        REVIEW_PROGRAMS="$build" "review/$case/run.sh" || held=1
    done
    return "$held"
}

# Faults recorded in KNOWN-RED.txt are run and printed, and do not fail the check.
known_red() {
    grep -v '^#' KNOWN-RED.txt || true
}

step "format" check_format
step "lint" check_lint
step "unit tests" "$build/unit-tests"
step "fuzz tests" "$build/fuzz-tests"
step "platform tests" "$build/platform-tests"
step "repeatable jobs under troubles" "$build/repeat-tests"
step "demo on real processes" python3 scripts/demo.py "$build"
step "faults on real processes" python3 tests/faults.py "$build" --tasks 5000
step "faults on real processes behind a stand-in of the platform" python3 tests/platform_faults.py "$build"
step "cases of the review" review_cases
step "clients that misbehave, one crowd at a time" python3 tests/hostile_clients.py "$build"
# Seed 19: a start that an endpoint carried out after it was born again, before it had announced itself, was reported as lost.
step "fault soak, three seeds" python3 tests/soak/soak.py "$build" --seeds 1,2,19
step "address and undefined behaviour sanitizer" sanitized asan address,undefined "unit-tests platform-tests fuzz-tests repeat-tests" address_tests
step "thread sanitizer" sanitized tsan thread "unit-tests medlarmill-entry medlarmill-agent medlarmillctl standin-platform standin-endpoint" thread_tests
echo "known red:"
known_red
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
