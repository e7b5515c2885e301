#!/usr/bin/env python3
"""Runs the scenarios in this folder with real processes on loopback addresses.

usage: run.py [--build DIR] [--filter TEXT] [--jobs N] [--list] [--keep DIR]
              [--set section.key=V] [--known-red FILE] [FILE...]

--known-red FILE skips the scenarios that FILE lists as `scenario NAME:` and prints their names.
--set overrides a setting of all nodes, to run a scenario against a baseline.

Prints a line for each scenario and a last line `N passed, N failed`. Exits with 0 if all passed.
The logs of a failed scenario stay in the folder that its line names.
"""
import argparse
import os
import pathlib
import shutil
import sys
import tempfile
import time
import traceback
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import known_red
from fleet import ROOT, StepFailed
from steps import Scenario

HERE = pathlib.Path(__file__).resolve().parent


def run_one(path, options, slot):
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"{path.stem}-", dir=options.keep))
    # Concurrent runs, also those of other users of the machine, get different addresses.
    net = (16 + os.getpid() % 200, 1 + slot % 100)
    scenario, start, error = Scenario(options.build, directory, net, options.set), time.monotonic(), None
    line_number = 0
    try:
        for line_number, line in enumerate(path.read_text().splitlines(), 1):
            scenario.step(line)
        scenario.finish()
    except StepFailed as failure:
        error = f"line {line_number}: {failure}"
    except Exception:  # An error in the runner itself must not stop the other scenarios.
        error = f"line {line_number}: runner error: {traceback.format_exc(limit=-3)}"
    finally:
        scenario.close()
    seconds = time.monotonic() - start
    if error is None:
        shutil.rmtree(directory, ignore_errors=True)
        print(f"pass {path.stem} ({seconds:.1f} s)", flush=True)
    else:
        print(f"FAIL {path.stem} ({seconds:.1f} s) {error}; logs: {directory}", flush=True)
    return error is None


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("files", nargs="*", type=pathlib.Path)
    parser.add_argument("--build", default=ROOT / "build", type=pathlib.Path)
    parser.add_argument("--filter", default="")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--set", action="append", default=[], help="section.key=value")
    parser.add_argument("--keep", default=tempfile.gettempdir(), help="folder for logs")
    parser.add_argument("--known-red", type=pathlib.Path)
    options = parser.parse_args()
    files = [f for f in options.files or sorted(HERE.glob("*.scenario"))
             if options.filter in f.stem]
    if options.known_red:
        red = known_red.names_of(options.known_red, "scenario")
        for path in [f for f in files if f.stem in red]:
            files.remove(path)
            print(f"known red, not run: {path.stem}")
    if options.list:
        for path in files:
            print(path.stem + "\t" + path.read_text().splitlines()[0].lstrip("# "))
        return 0
    with ThreadPoolExecutor(options.jobs) as pool:
        passed = sum(pool.map(lambda job: run_one(job[1], options, job[0]),
                              enumerate(files)))
    print(f"{passed} passed, {len(files) - passed} failed")
    return 0 if files and passed == len(files) else 1


if __name__ == "__main__":
    sys.exit(main())
