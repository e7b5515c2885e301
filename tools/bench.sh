#!/usr/bin/env bash
# Builds and runs one measurement over real processes: tools/bench.sh delivery [arguments].
set -euo pipefail
cd "$(dirname "$0")/.."
name="${1:?usage: tools/bench.sh NAME [arguments]}"
shift
[ -f "tools/bench/$name.py" ] || { echo "no measurement named $name in tools/bench" >&2; exit 2; }
tools/build.sh build
exec python3 "tools/bench/$name.py" --build build "$@"
