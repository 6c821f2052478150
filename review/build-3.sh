#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/14 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin-3 ./review/standin-3
