//! Membership: periodically sends this box's record to a seed and receives the seed's list of other
//! boxes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use ivyweir_policy::gateway::brittle::BrittleUpdate;
use ivyweir_policy::gateway::membership::{MembershipCursor, MembershipUpdate, Uptimes};
use ivyweir_policy::gateway::quarantine::{SuspectUpdate, split_by_kind};
use ivyweir_policy::gateway::relay::BoxRecord;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

use crate::box_call;
use crate::client::Client;
use crate::response::{self, ResponseBody, status_only};
use crate::state::Gateway;

/// HTTP path for joining.
pub const JOIN_PATH: &str = "/peer/join";
/// Intervals between the first joins; all boxes may start within 0.3 s of each other.
const INITIAL_INTERVALS_MS: [u64; 7] = [40, 40, 60, 150, 300, 500, 1_000];
/// Interval between later joins.
const JOIN_INTERVAL_MS: u64 = 2_000;
/// Connection timeout while this box starts. After a power loss on all boxes, a seed that is not
/// back yet does not respond, and the SYN would be retransmitted only after a second.
const STARTUP_CONNECT_LIMIT: Duration = Duration::from_millis(60);
/// Response timeout of a seed.
const RESPONSE_LIMIT: Duration = Duration::from_millis(400);
/// Maximum size of a join request.
const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// The request by which a box joins at a seed.
#[derive(Debug, Serialize, Deserialize)]
pub struct JoinRequest {
    from: BoxRecord,
    /// The state of the seed's list that the box already has.
    #[serde(default, rename = "has", skip_serializing_if = "Option::is_none")]
    cursor: Option<MembershipCursor>,
}

/// A seed's response to a join.
#[derive(Debug, Serialize, Deserialize)]
pub struct JoinResponse {
    /// Changes of the list of boxes; `None` if it is unchanged.
    #[serde(default, rename = "news", skip_serializing_if = "Option::is_none")]
    update: Option<MembershipUpdate>,
    /// Uptime of the seed.
    up_ms: u64,
    /// Number of boxes of all halls that joined at the seed recently, including itself.
    fleet_size: usize,
    /// Time until a restored store has settled; `None` if it has. A box that starts cannot detect an earlier restore.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    store_settles_in_ms: Option<u64>,
    /// Requests during which upstreams terminated. A box that starts is sent them with the first list, since the first
    /// report of another box may come after its first requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    suspects: Vec<SuspectUpdate>,
    /// Parts of prompts during which upstreams terminated.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    parts: Vec<SuspectUpdate>,
    /// Pools whose upstreams fail if they reject many requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    brittle: Vec<BrittleUpdate>,
}

/// Joins periodically for the lifetime of the process.
pub async fn maintain_membership(gateway: Arc<Gateway>) {
    let mut joiner = Joiner {
        gateway,
        clients: HashMap::new(),
        round: rand::random_range(0..INITIAL_INTERVALS_MS.len()),
    };
    let mut pauses = INITIAL_INTERVALS_MS.iter();
    while joiner.gateway.stopping_for_ms().is_none() {
        let up_ms = joiner.join_any().await;
        let now_ms = joiner.gateway.clock.now_ms();
        joiner.gateway.peers.rebuild_others(now_ms);
        joiner.update_membership_state(up_ms);
        let pause_ms = pauses.next().copied().unwrap_or(JOIN_INTERVAL_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

struct Joiner {
    gateway: Arc<Gateway>,
    clients: HashMap<SocketAddr, Client>,
    round: usize,
}

impl Joiner {
    /// Joins at the next seed in turn, or at another one if it does not respond. Reloads the seeds
    /// and tries a known box if no seed responds. Returns the uptime of the box that responded.
    async fn join_any(&mut self) -> Option<u64> {
        let seeds = self.gateway.peers.seeds();
        self.round += 1;
        for turn in 0..seeds.len() {
            let seed = seeds[(self.round + turn) % seeds.len()];
            if let Some(up_ms) = self.join_at(seed).await {
                return Some(up_ms);
            }
        }
        // An incomplete file is read again in the next round.
        let _is_complete = self.gateway.reload_seeds();
        let other = self.gateway.peers.random_peer()?;
        self.join_at(other).await
    }

    async fn join_at(&mut self, seed: SocketAddr) -> Option<u64> {
        let gateway = &self.gateway;
        let message = join_request(gateway, seed);
        let client = self
            .clients
            .entry(seed)
            .or_insert_with(|| Client::new(seed));
        if !gateway.peers.is_membership_ready() {
            client.connect(STARTUP_CONNECT_LIMIT).await.ok()?;
        }
        let response = box_call::post(client, JOIN_PATH, &message, RESPONSE_LIMIT).await;
        let response: JoinResponse = match response {
            Ok(response) => response,
            Err(_) => {
                self.clients.remove(&seed);
                return None;
            }
        };
        let now_ms = gateway.clock.now_ms();
        if let Some(update) = &response.update {
            let detail = json!({
                "seed": seed, "boxes": update.boxes.len(), "gone": update.gone.len(), "whole": update.is_whole,
            });
            gateway.log.line("boxes_heard", detail);
        }
        gateway.peers.apply_seed_list(seed, response.update, now_ms);
        gateway.peers.set_fleet_size(response.fleet_size);
        gateway.merge_ledger_snapshot([response.suspects, response.parts].concat());
        gateway.apply_brittle_pools(&response.brittle);
        if let Some(in_ms) = response.store_settles_in_ms {
            gateway.note_store_settles_in(in_ms);
        }
        gateway.peers.record_joined(now_ms);
        Some(response.up_ms)
    }

    /// Updates whether the fleet is starting, and whether the list of boxes is complete enough to
    /// choose a relay.
    fn update_membership_state(&self, seed_up_ms: Option<u64>) {
        let start = Uptimes {
            up_ms: self.gateway.clock.now_ms(),
            seed_up_ms,
        };
        let peers = &self.gateway.peers;
        peers.set_fleet_starting(start.is_fleet_start());
        if !peers.is_membership_ready() && (start.can_choose_relay() || peers.is_only_seed()) {
            peers.set_membership_ready();
            self.gateway.histories.notify();
        }
    }
}

fn join_request(gateway: &Gateway, seed: SocketAddr) -> JoinRequest {
    JoinRequest {
        from: gateway.peers.me().clone(),
        cursor: gateway.peers.seed_list_cursor(seed),
    }
}

/// Handles a join request.
pub async fn handle(gateway: &Gateway, request: Request<Incoming>) -> Response<ResponseBody> {
    let message = box_call::read_message::<JoinRequest>(request, MAX_MESSAGE_BYTES);
    let Some(message) = message.await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let now_ms = gateway.clock.now_ms();
    let hall = message.from.hall.clone();
    let (suspects, parts) = split_by_kind(match message.cursor {
        Some(_) => Vec::new(),
        None => gateway.ledger_snapshot(),
    });
    gateway.peers.add_joined(message.from, now_ms);
    let (update, fleet_size) = gateway.peers.with_joined(now_ms, |joined| {
        let update = joined.update_for(&hall, message.cursor, now_ms);
        (update, joined.count(now_ms))
    });
    response::peer_message(&JoinResponse {
        update,
        up_ms: now_ms,
        fleet_size,
        store_settles_in_ms: Some(gateway.store_settles_in_ms()).filter(|ms| *ms > 0),
        suspects,
        parts,
        brittle: gateway.recent_brittle_pools(),
    })
}
