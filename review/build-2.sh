#!/bin/bash
# Builds the stand-ins of the cases in review/6 to review/10 into target/. The cases also need the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-lab ./review/_lab
