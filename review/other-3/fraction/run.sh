#!/bin/sh
# Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../../.." || exit 2
[ -x target/review-3/fraction ] || exit 2
exec target/review-3/fraction target "$here/record.txt"
