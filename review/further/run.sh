#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/ivyweird ] && [ -x target/review/release/memory ] || exit 2
exec target/review/release/memory review/further/record.txt
