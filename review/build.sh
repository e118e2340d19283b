#!/usr/bin/env bash
# Builds what the scripts start beside the programs of the deploy file: the driver, and core
# on a stand-in disk. Both use the standard library and this project's packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/driver ./review/_driver
go build -buildvcs=false -ldflags=-linkmode=external -o review/bin/core ./review/_core
