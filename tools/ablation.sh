#!/usr/bin/env bash
# Plays the days with trouble of a site with each mechanism switched off, one at a time.
#
#     tools/ablation.sh BENCH SITE [options of rounds.py, such as --small or --seeds 1,2,3]
set -euo pipefail
bench=$1 site=$2
shift 2
cd "$(dirname "$0")/.."
days=trouble-1,scale-1,trouble-2,scale-2,trouble-3
for policy in \
    '{}' \
    '{"confidence_floor": 0}' \
    '{"draw_shared": false}' \
    '{"hear_work": false}' \
    '{"learn_pace": false}' \
    '{"far_engine_ms": 0}' \
    '{"rank_prompts": false}' \
    '{"avoid_failing": false}' \
    '{"unproven_keys": "refuse"}'; do
    echo "$policy"
    tools/rounds.py "$bench" "$site" --days "$days" --policy "$policy" --why "ablation: $policy" "$@" |
        grep -E 'troubled|BROKEN|no report'
done
