#!/bin/sh
# Builds the stand-ins of the cases. Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review-standin ./review/standin
