#!/bin/sh
# Builds the stand-ins and the drivers of the cases 9 to 13 into target/review-3. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3
