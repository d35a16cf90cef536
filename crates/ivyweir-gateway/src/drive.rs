//! Drives roll-outs: any box may write the next state, under the record's revision.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use ivyweir_policy::gateway::rollout::{RolloutDuty, RolloutOrder, RolloutState};
use ivyweir_policy::hash::hash64;
use serde_json::json;
use tokio::time::sleep;

use crate::adopt::adopt_rollout;
use crate::client::ANSWER_LIMIT;
use crate::state::Gateway;
use crate::state::counts_of;
use crate::store_client::{StoreAnswer, StoreClient};

/// How often duties are looked at.
const ROUND: Duration = Duration::from_millis(100);
/// Boxes act one after the other, so that the first one's write spares the others': the root at
/// once, then the relays that hear from it, then all others, spread over some time. The first of
/// each is in time for the last step of a roll-out.
const RELAY_DELAY_MS: u64 = 300;
const OTHERS_DELAY_MS: u64 = 500;
const SPREAD_MS: u64 = 1_500;
/// Age of the proof from which a box does not write: nobody it hears from reaches the store.
const PROOF_MAX_MS: u64 = 2_500;
/// Pause after a write that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(400);

/// Does the duties of roll-outs for the life of the process.
pub async fn run(gateway: Arc<Gateway>) {
    let mut client = StoreClient::new(gateway.clone());
    loop {
        sleep(ROUND).await;
        let Some(own_delay_ms) = own_delay_ms(&gateway) else {
            continue;
        };
        for (order, duty) in duties(&gateway, own_delay_ms) {
            write(&gateway, &mut client, order, duty).await;
        }
    }
}

/// How long this box leaves a duty to others; none while the store is out of reach.
fn own_delay_ms(gateway: &Gateway) -> Option<u64> {
    let histories = &gateway.histories;
    if histories.is_root() {
        return Some(0);
    }
    let proof_age_ms = gateway.proof_age_ms()?;
    if proof_age_ms > PROOF_MAX_MS {
        return None;
    }
    if gateway.peers.root().is_some() {
        return Some(RELAY_DELAY_MS);
    }
    let own_hash = hash64(&[gateway.settings.box_name.as_bytes()]);
    Some(OTHERS_DELAY_MS + own_hash % SPREAD_MS)
}

/// What is to be written now that it is this box's turn.
fn duties(gateway: &Gateway, own_delay_ms: u64) -> Vec<(RolloutOrder, RolloutDuty)> {
    let era = gateway.store_era().unwrap_or_default();
    gateway.with_rollouts(|rollouts, now_ms| {
        rollouts
            .values()
            // Revision numbers are reused after a restore, so one from another era may match a different
            // write.
            .filter(|track| track.order().era == era)
            .filter_map(|track| {
                let due = track.duty(now_ms.saturating_sub(own_delay_ms));
                let elapsed_ms = track.elapsed_ms(now_ms);
                if due == RolloutDuty::None || elapsed_ms < own_delay_ms {
                    return None;
                }
                let mut order = track.order().clone();
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

/// Writes a roll-out's state to the store, and what came of it to the log.
async fn write(
    gateway: &Arc<Gateway>,
    client: &mut StoreClient,
    order: RolloutOrder,
    duty: RolloutDuty,
) {
    let request = gateway.codec.write_rollout(&order);
    let outcome = match client.call(request, ANSWER_LIMIT).await {
        Ok(answer) => take_answer(gateway, &answer),
        Err(e) => Err(e.to_string()),
    };
    let counts = gateway.with_rollouts(|rollouts, _| {
        let track = rollouts.get(&order.pool);
        track.map(|track| counts_of(&track.total_tally()))
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
        sleep(FAILED_PAUSE).await;
    }
}

/// Takes in the record as it is now; returns whose write it is, or why it is not known.
fn take_answer(gateway: &Gateway, answer: &StoreAnswer) -> Result<&'static str, String> {
    let outcome = match answer.status {
        StatusCode::OK => "written",
        StatusCode::CONFLICT => "conflict",
        status => return Err(format!("status {}", status.as_u16())),
    };
    let now = gateway.codec.decode_rollout(&answer.body);
    let mut now = now.map_err(|e| e.to_string())?;
    now.era = answer.era;
    adopt_rollout(gateway, now);
    Ok(outcome)
}
