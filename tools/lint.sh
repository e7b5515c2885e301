#!/usr/bin/env bash
# Checks the sources with clang-format and clang-tidy.
# usage: tools/lint.sh [--format-only] [FILE...]; needs a configured build directory for the linter.
set -euo pipefail
cd "$(dirname "$0")/.."
format_only=0
[ "${1:-}" = "--format-only" ] && { format_only=1; shift; }
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard '*.h' '*.cc' | grep -v '\.pb\.')
fi
clang-format --dry-run --Werror "${files[@]}"
[ "$format_only" -eq 1 ] && exit 0
printf '%s\n' "${files[@]}" | grep '\.cc$' |
  xargs -r -P "${GUAVATRAIL_JOBS:-$(nproc)}" -n 2 clang-tidy --quiet -p build 2>/dev/null
