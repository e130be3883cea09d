#!/bin/sh
# Builds the programs that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 8 9 10; do
  go build -ldflags=-linkmode=external -o "target/review-2/case-$case" "./review/$case"
done
