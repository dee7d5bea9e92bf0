#!/usr/bin/env bash
# Builds the named programs of the review in build-review/, by default those of the three cases, and the project's programs
# if they are not built yet. One build at a time: cases may be started side by side.
set -euo pipefail
cd "$(dirname "$0")/.."
exec 9>"${TMPDIR:-/tmp}/trailjunction-review-build.lock"
flock 9
if [ ! -x target/packages/entry/trailjunction ] && [ ! -x build/packages/entry/trailjunction ]; then
	tools/build trailjunction trailjunction-agent
fi
[ -f build-review/build.ninja ] || cmake -S review -B build-review -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
[ $# -gt 0 ] || set -- case-1 case-2 case-3
targets=()
for name in "$@"; do targets+=(--target "$name"); done
cmake --build build-review "${targets[@]}"
