#!/bin/sh
# Builds the stand-ins of the scripted cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig ./review/testdata/rig
