#!/usr/bin/env bash
# Breaks each mechanism once, in a copy of the tree, and shows that a test goes red.
# usage: tools/mutations.sh [NAME]        (all of them if no name is given)
set -u
cd "$(dirname "$0")/.."
copy=${MUTATIONS_DIR:-target/mutations}
mkdir -p "$copy"
survived=0

# mutate NAME FILE PERL-SUBSTITUTION PACKAGE TEST-FILE TEST
mutate() {
  local name=$1 file=$2 change=$3 package=$4 suite=$5 test=$6
  [ -z "${only:-}" ] || [ "$only" = "$name" ] || return 0
  rm -rf "$copy/crates"
  cp -r Cargo.toml Cargo.lock crates "$copy/"
  perl -0pi -e "$change" "$copy/$file"
  if cmp -s "$file" "$copy/$file"; then
    echo "| $name | the change no longer fits $file |"
    survived=1
    return
  fi
  if (cd "$copy" && CARGO_TARGET_DIR=build timeout 300 cargo test -q --locked -p "$package" --test "$suite" -- "$test") \
    > "$copy/$name.log" 2>&1; then
    echo "| $name | $suite::$test | SURVIVED |"
    survived=1
  elif grep -q "test result: FAILED" "$copy/$name.log"; then
    echo "| $name | $suite::$test | red |"
  else
    echo "| $name | $suite::$test | did not build |"
    survived=1
  fi
}

only=${1:-}
d=crates/ivyweird/src p=crates/ivyweir-policy/src e=crates/ivyweir-engine/src
mutate skip_claim $d/context.rs 's/claimed: Cell::new\(!metadata.at_most_once\)/claimed: Cell::new(true)/' ivyweird once a_key_sent_to_all
mutate repeat_after_send $d/service_call.rs 's/let repeatable =\s*!context.metadata.at_most_once\s*&&/let repeatable = true ||/' ivyweird once a_connection_that_breaks
mutate drop_replica $d/replica.rs 's/if !node\s*\.peers\s*\.hold\(&member\.peer_addr, request\)\s*\.unwrap_or\(false\)\s*\{\s*return None;\s*\}/drop(request);/' ivyweird billing a_replica_writes
mutate bill_by_segment $p/billing.rs 's/let id = \(record.workspace.clone\(\), record.key.clone\(\)\);/let id = (record.workspace.clone(), format!("{}{}", record.key, record.at_ms).into());/' ivyweird billing a_repeated_key
mutate lower_generation $d/config.rs 's/if config.generation < active.config.generation \{\s*return OfferOutcome::Older;\s*\}//' ivyweird config a_store_that_is_set_back
mutate no_sight $p/freshness.rs 's/Freshness::Partitioned\n    \}/Freshness::StoreUnavailable\n    }/' ivyweird config a_box_cut_off
mutate no_majority $p/freshness.rs 's/pub fn may_accept_change\(evidence: FreshnessEvidence\) -> bool \{\s*has_majority\(evidence\)/pub fn may_accept_change(_: FreshnessEvidence) -> bool { true/' ivyweird config a_box_cut_off
mutate move_session $d/route.rs 's/if let Some\(session\) = &context.session \{\s*let pinned/if let Some(session) = context.session.as_ref().filter(|_| false) {\n let pinned/' ivyweird answers a_session_keeps
mutate use_withdrawn $p/config.rs 's/allowed && self.is_active\(at\)/allowed/' ivyweird config a_store_that_is_set_back
mutate deliver_truncated $e/response.rs 's/if choice\s*\.get\("finish_reason"\)\s*\.and_then\(Value::as_str\)\s*\.is_none\(\)/if false/' ivyweird answers truncated_answers
mutate deliver_mismatched $e/response.rs 's/if id.ends_with\(request.request_id\(\)\) && model == request.version\(\)/if true || (id.is_empty() \&\& model.is_empty())/' ivyweird answers answers_to_other
mutate use_leaving $p/upstream.rs 's/pool_matches && version_matches && self.state == BoxState::Live/pool_matches \&\& version_matches/' ivyweird answers a_leaving_upstream
mutate stop_at_once $d/shutdown.rs 's/while node.in_progress\(\) > 0 \{\s*std::thread::sleep\(POLL_INTERVAL\);\s*\}//' ivyweird answers a_planned_stop
mutate no_guard $p/version_health.rs 's/own \|\| peers_reporting >= PEER_QUORUM/false \&\& (own || peers_reporting >= PEER_QUORUM)/' ivyweird answers a_version_that_turns_bad
exit $survived
