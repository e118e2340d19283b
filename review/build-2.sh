#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripted cases 6 to 10, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-driver2 ./review/_driver2
