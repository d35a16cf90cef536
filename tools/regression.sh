#!/usr/bin/env bash
# Plays the regression list: for each deployment its standard days with marks, and a hunt for broken rules.
#
#     tools/regression.sh BENCH FOLDER WHY [PATTERN]
#
# FOLDER holds the deployments' folders; only those whose path matches PATTERN are played. Exits with 1 if a gate failed or a rule broke.
set -euo pipefail
bench=$1 folder=$2 why=$3 pattern=${4:-.}
cd "$(dirname "$0")/.."
# Path, days of the hunt (8 where there are 60 machines or more), plays at a time: few where each has
# hundreds of processes.
list='sites/magnolia-ivy 40 4
sites/mls-ivyweir 40 4
further/pampa-gremio 40 4
shifted/magnolia-ivy-now-grown 8 2
large/magnolia-ivy-large 8 1
further-grown/pampa-gremio-grown 8 3
grown/mls-ivyweir-grown 8 3
grown/magnolia-ivy-grown 8 3'
failed=0 played=0
while read -r site days jobs; do
    [[ $site =~ $pattern ]] || continue
    echo "== $site"
    played=$((played + 1))
    scored=$("$bench" score "$folder/$site.toml" --jobs "$jobs" --why "$why") || true
    grep -E '^(score|quiet|trouble|scale|fresh|GATE)' <<<"$scored" || true
    hunted=$("$bench" hunt "$folder/$site.toml" --days "$days" --jobs "$jobs" --why "$why") || true
    grep -E 'with a rule broken|BROKEN' <<<"$hunted" || true
    grep -q 'GATE passed' <<<"$scored" && grep -q ' 0 with a rule broken' <<<"$hunted" || failed=1
done <<<"$list"
if [ "$played" = 0 ]; then
    echo "no deployment of the list matches $pattern" >&2
    exit 2
fi
exit "$failed"
