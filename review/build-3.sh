#!/bin/sh
# Builds every stand-in that the scripts of the third review start. Run it in the repository's root, after the build of
# the deploy file.
set -e
mkdir -p target
go build -o target/third ./review/testdata/third
