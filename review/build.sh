#!/usr/bin/env bash
# Builds the stand-ins of the platform, its servers and its clients that the scripts start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
