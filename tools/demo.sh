#!/usr/bin/env bash
# Demonstrates the main features on loopback: installs the packages, builds, runs both sample meshes
# with stand-ins for platform and backend servers, publishes, calls, and stops what it started.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install-packages.sh
tools/build.sh build
exec python3 tools/demo.py --build build
