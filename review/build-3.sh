#!/usr/bin/env bash
# Checks the stand-ins of cases 11 to 15. They are Python modules of review/common-3, which the scripts
# run in their own process, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common-3/standins.py 1[1-5]/run.py <<'PYTHON'
import sys

assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
