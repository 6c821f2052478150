#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and review/7 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin-2
