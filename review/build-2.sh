#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10. They are Python programs of common-2 and of the cases, so
# that there is nothing to compile; the nodes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
test -x ../target/guavatraild || echo "build-2.sh: build target/guavatraild first (deploy/system.toml)" >&2
