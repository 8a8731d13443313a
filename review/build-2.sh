#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It comes after the build of
# the deploy file and needs nothing that that one does not need.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand2 ./review/stand2
