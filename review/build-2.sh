#!/usr/bin/env bash
# Builds the stand-ins and clients of the second review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/rig2
