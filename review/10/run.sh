#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/limpetstep-platform ] || { echo "target/release/limpetstep-platform is not built"; exit 2; }
[ -x target/review-2/case-10 ] || { echo "target/review-2/case-10 is not built; run review/build-2.sh"; exit 2; }
exec target/review-2/case-10 review/10
