#!/usr/bin/env bash
# Builds everything and runs all tests: unit tests, scenarios with real processes, short soak runs.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install-packages.sh
tools/build.sh build
python3 test/known_red_test.py
python3 test/run_unit_tests.py build
python3 test/scenarios/selftest.py
python3 test/scenarios/run.py --jobs 3 --known-red KNOWN-RED.txt
python3 test/soak/checks_test.py
python3 test/soak/explain_failures_test.py
python3 test/soak/soak.py --seeds 1-3 --seconds 8 --jobs 3
