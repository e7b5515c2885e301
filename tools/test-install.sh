#!/usr/bin/env bash
# Installs build/ into a temporary prefix, then builds and runs apps/embed against it, as an
# external project would.
set -euo pipefail
cd "$(dirname "$0")/.."
prefix="$(mktemp -d)"
trap 'rm -rf "$prefix"' EXIT
cmake --install build --prefix "$prefix/root" > /dev/null
cmake -S apps/embed -B "$prefix/build" -G Ninja -DCMAKE_PREFIX_PATH="$prefix/root" > /dev/null
cmake --build "$prefix/build"
"$prefix/build/embed_admission"
