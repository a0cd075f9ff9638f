#!/usr/bin/env bash
# Builds the stand-ins of the cases. The programs of the project are built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/_standin
