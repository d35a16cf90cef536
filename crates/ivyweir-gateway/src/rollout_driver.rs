//! Advances roll-outs. Any box may write the next state; the write is conditional on the revision of the record.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use ivyweir_policy::gateway::rollout::{RolloutDuty, RolloutOrder, RolloutState};
use ivyweir_policy::hash::hash64;
use serde_json::json;
use tokio::time::sleep;

use crate::apply::apply_rollout;
use crate::state::Gateway;
use crate::state::tally_json;
use crate::store_client::{StoreClient, StoreResponse};

/// Interval between checks for due writes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Boxes write in turn, so that the first write makes the others unnecessary: the root immediately, then the relays
/// that follow it, then all other boxes, spread over a span. The first box of each group still writes in time for the
/// last step of a roll-out.
const RELAY_DELAY_MS: u64 = 300;
const OTHERS_DELAY_MS: u64 = 500;
const OTHERS_SPREAD_MS: u64 = 1_500;
/// Age of the proof above which a box does not write, because none of its sources reaches the store.
const MAX_PROOF_AGE_MS: u64 = 2_500;
/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Writes due states of roll-outs for the lifetime of the process.
pub async fn run(gateway: Arc<Gateway>) {
    let mut client = StoreClient::new(gateway.clone());
    loop {
        sleep(POLL_INTERVAL).await;
        let is_blind = !gateway.may_serve_keys() || gateway.may_be_cut_off();
        gateway.with_rollouts(|rollouts, now_ms| {
            rollouts
                .values_mut()
                .for_each(|tracker| tracker.tick(now_ms, is_blind));
        });
        let Some(own_delay_ms) = own_delay_ms(&gateway) else {
            continue;
        };
        for (order, duty) in due_writes(&gateway, own_delay_ms) {
            write(&gateway, &mut client, order, duty).await;
        }
    }
}

/// Time for which this box leaves a due write to others; `None` while the store is unreachable.
fn own_delay_ms(gateway: &Gateway) -> Option<u64> {
    let histories = &gateway.histories;
    if histories.is_root() {
        return Some(0);
    }
    let proof_age_ms = gateway.proof_age_ms()?;
    if proof_age_ms > MAX_PROOF_AGE_MS {
        return None;
    }
    if gateway.peers.root().is_some() {
        return Some(RELAY_DELAY_MS);
    }
    let own_hash = hash64(&[gateway.settings.box_name.as_bytes()]);
    Some(OTHERS_DELAY_MS + own_hash % OTHERS_SPREAD_MS)
}

/// Writes that other boxes had time for and that are still due.
fn due_writes(gateway: &Gateway, own_delay_ms: u64) -> Vec<(RolloutOrder, RolloutDuty)> {
    let era = gateway.store_era().unwrap_or_default();
    gateway.with_rollouts(|rollouts, now_ms| {
        rollouts
            .values()
            // Revision numbers are reused after a restore, so one from another era may match a different
            // write.
            .filter(|tracker| tracker.order().era == era)
            .filter_map(|tracker| {
                let due = tracker.duty(now_ms.saturating_sub(own_delay_ms));
                let elapsed_ms = tracker.elapsed_ms(now_ms);
                if due == RolloutDuty::None || elapsed_ms < own_delay_ms {
                    return None;
                }
                let mut order = tracker.order().clone();
                order.state = match due {
                    RolloutDuty::Complete => RolloutState::Completed,
                    RolloutDuty::RollBack => RolloutState::RolledBack,
                    RolloutDuty::Tell | RolloutDuty::None => RolloutState::Running { elapsed_ms },
                };
                Some((order, due))
            })
            .collect()
    })
}

/// Writes the state of a roll-out to the store, and logs the outcome.
async fn write(
    gateway: &Arc<Gateway>,
    client: &mut StoreClient,
    order: RolloutOrder,
    duty: RolloutDuty,
) {
    let outcome = match client.write_rollout(&order).await {
        Ok(response) => apply_response(gateway, &response),
        Err(e) => Err(e.to_string()),
    };
    let counts = gateway.with_rollouts(|rollouts, _| {
        let tracker = rollouts.get(&order.pool);
        tracker.map(|tracker| tally_json(&tracker.total_tally()))
    });
    let outcome_text = match &outcome {
        Ok(outcome) => outcome,
        Err(e) => e.as_str(),
    };
    let detail = json!({
        "pool": order.pool, "target_version": order.target_version,
        "duty": format!("{duty:?}"), "outcome": outcome_text, "revision": order.revision,
        "bad_of_all": counts,
    });
    gateway.log.line("rollout_step", detail);
    if outcome.is_err() {
        sleep(RETRY_DELAY).await;
    }
}

/// Applies the record in the response; returns whether it was written by this box or another, or why that is unknown.
fn apply_response(gateway: &Gateway, response: &StoreResponse) -> Result<&'static str, String> {
    let outcome = match response.status {
        StatusCode::OK => "written",
        StatusCode::CONFLICT => "conflict",
        status => return Err(format!("status {}", status.as_u16())),
    };
    let record = gateway.store_codec.decode_rollout(&response.body);
    let mut record = record.map_err(|e| e.to_string())?;
    record.era = response.era;
    apply_rollout(gateway, record);
    Ok(outcome)
}
