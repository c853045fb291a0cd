#!/bin/sh
# Usage: review/3/run.sh, from any folder, after the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." && exec java -Xmx512m -cp target/review BurstAndScaleOut review/3
