#!/usr/bin/env bash
# Configures and builds in DIR (default: build); further arguments are passed to cmake.
# usage: tools/build.sh [DIR] [cmake arguments]
set -euo pipefail
cd "$(dirname "$0")/.."
dir="${1:-build}"
[ $# -gt 0 ] && shift
# Lets checkouts in different directories share the compiler cache.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B "$dir" -G Ninja "$@" > "/tmp/guavatrail-cmake.$$.log" 2>&1 ||
  { cat "/tmp/guavatrail-cmake.$$.log"; exit 1; }
rm -f "/tmp/guavatrail-cmake.$$.log"
cmake --build "$dir" -j "${GUAVATRAIL_JOBS:-$(nproc)}"
