#!/usr/bin/env bash
# Builds the stand-ins and the programs of cases 4 to 8 in build-review-2/. The project's own programs are those of the
# deploy file's build, below target/.
set -euo pipefail
cd "$(dirname "$0")/.."
exec 9>"${TMPDIR:-/tmp}/trailjunction-review-2-build.lock"
flock 9
if [ ! -x target/packages/entry/trailjunction ] || [ ! -x target/packages/agent/trailjunction-agent ]; then
	cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release -DTRAILJUNCTION_PROGRAMS_ONLY=ON >/dev/null
	cmake --build target --target trailjunction trailjunction-agent
fi
cmake -S review/standins-2 -B build-review-2 -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build-review-2 --target cases
