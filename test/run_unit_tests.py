#!/usr/bin/env python3
"""Runs the tests that CMake has registered, except those that KNOWN-RED.txt lists.

usage: run_unit_tests.py [--subset] BUILD_DIR [KNOWN_RED_FILE]

Prints the names of the tests that are not run. Fails if a listed test does not exist, so that no
entry outlives its test. With --subset the build has only some of the tests, so that listed ones
may be missing.
"""
import argparse
import json
import pathlib
import re
import subprocess
import sys

import known_red

ROOT = pathlib.Path(__file__).resolve().parent.parent


def exclusion(names, existing):
    """The ctest arguments that leave out exactly `names`, all of which must be in `existing`."""
    unknown = [name for name in names if name not in existing]
    if unknown:
        raise ValueError(f"KNOWN-RED.txt lists tests that do not exist: {', '.join(unknown)}")
    return ["-E", "^(" + "|".join(map(re.escape, names)) + ")$"] if names else []


def registered_tests(build):
    """The names of all tests in the build directory."""
    listing = subprocess.run(["ctest", "--test-dir", build, "--show-only=json-v1"],
                             check=True, capture_output=True, text=True).stdout
    return {test["name"] for test in json.loads(listing)["tests"]}


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--subset", action="store_true")
    parser.add_argument("build")
    parser.add_argument("known_red", nargs="?", type=pathlib.Path, default=ROOT / "KNOWN-RED.txt")
    options = parser.parse_args()
    build = options.build
    red = known_red.names_of(options.known_red, "test")
    try:
        existing = registered_tests(build) if red else set()
        if options.subset:
            red = [name for name in red if name in existing]
        excluded = exclusion(red, existing)
    except ValueError as error:
        print(error, file=sys.stderr)
        return 1
    for name in red:
        print(f"known red, not run: {name}", flush=True)
    return subprocess.run(["ctest", "--test-dir", build, "--output-on-failure", "-j", "8",
                           *excluded]).returncode


if __name__ == "__main__":
    sys.exit(main())
