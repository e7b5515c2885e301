#!/usr/bin/env bash
# Regenerates the committed protobuf sources in src/ from proto/.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=proto --cpp_out=src proto/*.proto
