#!/bin/bash
# Plays the case with the programs that the deploy file and review/build-2.sh have built. TROUBLE=0 leaves the trouble out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/clementine-node ] || [ ! -x target/review-lab ]; then
	echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
	exit 2
fi
RECORD=review/8/record.txt exec target/review-lab closing
