#!/bin/sh
# Builds the stand-ins and the requesters of all scripts into review/bin. Needs Go alone.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/...
