#!/usr/bin/env bash
# Builds the programs of the cases in build-review/, and the project's programs if they are not built yet.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/packages/entry/trailjunction ] && [ ! -x build/packages/entry/trailjunction ]; then
	tools/build trailjunction trailjunction-agent
fi
[ -f build-review/build.ninja ] || cmake -S review -B build-review -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build-review
