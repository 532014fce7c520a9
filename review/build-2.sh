#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Run it in any folder after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-second ./review/testdata/second
