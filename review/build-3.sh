#!/usr/bin/env bash
# Builds the driver with the stand-ins of the cases of the third review.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3-driver ./review/_driver3
