#!/bin/sh
# Builds the drivers and the stand-ins that the scripts of the cases start.
set -e
cd "$(dirname "$0")/.."
go build -trimpath -o review/bin/ ./review/...
