#!/bin/bash
# Entry of issues 63 and 66: half of the servers crash while all their answers carry no length. Exits like the cases' run.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/ivyweird ] && [ -x target/review/release/case2 ] || exit 2
exec target/review/release/case2 review/further/record.txt crash 1
