//! Joins the other boxes: sends this box's record to a seed, again and again, and gets its list of
//! the others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use ivyweir_policy::gateway::membership::{MembershipCursor, MembershipUpdate, Uptimes};
use ivyweir_policy::gateway::relay::BoxRecord;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

use crate::answer::{self, AnswerBody, bare};
use crate::box_call;
use crate::client::Client;
use crate::state::Gateway;

/// Where boxes join.
pub const JOIN_PATH: &str = "/peer/join";
/// Pauses between the first rounds: all boxes may start within 0.3 s of each other.
const INITIAL_INTERVALS_MS: [u64; 7] = [40, 40, 60, 150, 300, 500, 1_000];
/// Pause between later rounds.
const JOIN_INTERVAL_MS: u64 = 2_000;
/// Time for a connection to a seed to come up while this box starts: where all boxes lost power, a seed
/// that is not back yet says nothing, and the opening packet would be sent again after a second.
const STARTUP_CONNECT_LIMIT: Duration = Duration::from_millis(60);
/// Time for a seed to answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// Largest message.
const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// A box that joins, to a seed.
#[derive(Debug, Serialize, Deserialize)]
pub struct JoinRequest {
    from: BoxRecord,
    /// What the box has of the seed's list.
    #[serde(default, rename = "has", skip_serializing_if = "Option::is_none")]
    cursor: Option<MembershipCursor>,
}

/// A seed's answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct JoinResponse {
    /// What is new on the list of boxes, where that is not the last one.
    #[serde(default, rename = "news", skip_serializing_if = "Option::is_none")]
    update: Option<MembershipUpdate>,
    /// Time since the seed's start.
    up_ms: u64,
    /// Boxes of all halls that joined there lately, itself included.
    fleet_size: usize,
    /// Time until a restored store has settled; `None` if it has. A box that starts cannot detect an earlier restore.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    store_settles_in_ms: Option<u64>,
}

/// Joins again and again for the life of the process.
pub async fn keep_joined(gateway: Arc<Gateway>) {
    let mut joiner = Joiner {
        gateway,
        clients: HashMap::new(),
        round: rand::random_range(0..INITIAL_INTERVALS_MS.len()),
    };
    let mut pauses = INITIAL_INTERVALS_MS.iter();
    while joiner.gateway.stopping_for_ms().is_none() {
        let up_ms = joiner.join_one().await;
        let now_ms = joiner.gateway.clock.now_ms();
        joiner.gateway.peers.merge(now_ms);
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
    /// Joins at the seed whose turn it is, or at another box if that does not answer; returns how
    /// long the one that answered has been up.
    async fn join_one(&mut self) -> Option<u64> {
        let seeds = self.gateway.peers.seeds();
        self.round += 1;
        for turn in 0..seeds.len() {
            let seed = seeds[(self.round + turn) % seeds.len()];
            if let Some(up_ms) = self.join_at(seed).await {
                return Some(up_ms);
            }
        }
        self.gateway.reload_seeds();
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
        if !gateway.peers.is_settled() {
            client.connect(STARTUP_CONNECT_LIMIT).await.ok()?;
        }
        let answer = box_call::post(client, JOIN_PATH, &message, ANSWER_LIMIT).await;
        let answer: JoinResponse = match answer {
            Ok(answer) => answer,
            Err(_) => {
                self.clients.remove(&seed);
                return None;
            }
        };
        let now_ms = gateway.clock.now_ms();
        if let Some(update) = &answer.update {
            let detail = json!({
                "seed": seed, "boxes": update.boxes.len(), "gone": update.gone.len(), "whole": update.is_whole,
            });
            gateway.log.line("boxes_heard", detail);
        }
        gateway.peers.apply_seed_list(seed, answer.update, now_ms);
        gateway.peers.set_fleet_size(answer.fleet_size);
        if let Some(in_ms) = answer.store_settles_in_ms {
            gateway.note_store_settles_in(in_ms);
        }
        gateway.peers.record_joined(now_ms);
        Some(answer.up_ms)
    }

    /// Decides whether the list of boxes is good enough to choose a relay by.
    fn update_membership_state(&self, seed_up_ms: Option<u64>) {
        let start = Uptimes {
            up_ms: self.gateway.clock.now_ms(),
            seed_up_ms,
        };
        let peers = &self.gateway.peers;
        peers.set_fleet_starting(start.is_fleet_start());
        if !peers.is_settled() && (start.can_choose_relay() || peers.is_only_seed()) {
            peers.settle();
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

/// Answers a box that joins here.
pub async fn handle(gateway: &Gateway, request: Request<Incoming>) -> Response<AnswerBody> {
    let message = box_call::read_message::<JoinRequest>(request, MAX_MESSAGE_BYTES);
    let Some(message) = message.await else {
        return bare(StatusCode::BAD_REQUEST);
    };
    let now_ms = gateway.clock.now_ms();
    let hall = message.from.hall.clone();
    gateway.peers.add_joined(message.from, now_ms);
    let (update, fleet_size) = gateway.peers.with_joined(now_ms, |joined| {
        let update = joined.update_for(&hall, message.cursor, now_ms);
        (update, joined.count(now_ms))
    });
    answer::message(&JoinResponse {
        update,
        up_ms: now_ms,
        fleet_size,
        store_settles_in_ms: Some(gateway.store_settles_in_ms()).filter(|ms| *ms > 0),
    })
}
