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

use crate::box_call;
use crate::client::Client;
use crate::response::{self, ResponseBody, status_only};
use crate::state::Gateway;

/// Where boxes join.
pub const JOIN_PATH: &str = "/peer/join";
/// Pauses between the first rounds: all boxes may start within 0.3 s of each other.
const FIRST_PAUSES_MS: [u64; 7] = [40, 40, 60, 150, 300, 500, 1_000];
/// Pause between later rounds.
const PAUSE_MS: u64 = 2_000;
/// Time for a connection to a seed to come up while this box starts: where all boxes lost power, a seed
/// that is not back yet says nothing, and the opening packet would be sent again after a second.
const START_CONNECT_LIMIT: Duration = Duration::from_millis(60);
/// Time for a seed to answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// Largest message.
const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// A box that joins, to a seed.
#[derive(Debug, Serialize, Deserialize)]
pub struct JoinMessage {
    from: BoxRecord,
    /// What the box has of the seed's list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    has: Option<MembershipCursor>,
}

/// A seed's answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct JoinAnswer {
    /// What is new on the list of boxes, where that is not the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    news: Option<MembershipUpdate>,
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
        round: rand::random_range(0..FIRST_PAUSES_MS.len()),
    };
    let mut pauses = FIRST_PAUSES_MS.iter();
    while joiner.gateway.stopping_for_ms().is_none() {
        let up_ms = joiner.join_one().await;
        let now_ms = joiner.gateway.clock.now_ms();
        joiner.gateway.peers.merge(now_ms);
        joiner.settle(up_ms);
        let pause_ms = pauses.next().copied().unwrap_or(PAUSE_MS);
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
        let other = self.gateway.peers.any_other()?;
        self.join_at(other).await
    }

    async fn join_at(&mut self, seed: SocketAddr) -> Option<u64> {
        let gateway = &self.gateway;
        let message = own_message(gateway, seed);
        let client = self
            .clients
            .entry(seed)
            .or_insert_with(|| Client::new(seed));
        if !gateway.peers.is_settled() {
            client.connect(START_CONNECT_LIMIT).await.ok()?;
        }
        let answer = box_call::post(client, JOIN_PATH, &message, ANSWER_LIMIT).await;
        let answer: JoinAnswer = match answer {
            Ok(answer) => answer,
            Err(_) => {
                self.clients.remove(&seed);
                return None;
            }
        };
        let now_ms = gateway.clock.now_ms();
        if let Some(news) = &answer.news {
            let detail = json!({
                "seed": seed, "boxes": news.boxes.len(), "gone": news.gone.len(), "whole": news.is_whole,
            });
            gateway.log.line("boxes_heard", detail);
        }
        gateway.peers.take_seed_list(seed, answer.news, now_ms);
        gateway.peers.set_fleet_size(answer.fleet_size);
        if let Some(in_ms) = answer.store_settles_in_ms {
            gateway.note_store_settles_in(in_ms);
        }
        gateway.peers.note_joined(now_ms);
        Some(answer.up_ms)
    }

    /// Decides whether the list of boxes is good enough to choose a relay by.
    fn settle(&self, seed_up_ms: Option<u64>) {
        let start = Uptimes {
            up_ms: self.gateway.clock.now_ms(),
            seed_up_ms,
        };
        let peers = &self.gateway.peers;
        peers.set_young(start.is_fleet_start());
        if !peers.is_settled() && (start.can_choose_relay() || peers.is_only_seed()) {
            peers.settle();
            self.gateway.histories.tell();
        }
    }
}

fn own_message(gateway: &Gateway, seed: SocketAddr) -> JoinMessage {
    JoinMessage {
        from: gateway.peers.me().clone(),
        has: gateway.peers.seed_list_mark(seed),
    }
}

/// Answers a box that joins here.
pub async fn answer(gateway: &Gateway, request: Request<Incoming>) -> Response<ResponseBody> {
    let message = box_call::read_message::<JoinMessage>(request, MAX_MESSAGE_BYTES);
    let Some(message) = message.await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let now_ms = gateway.clock.now_ms();
    let hall = message.from.hall.clone();
    gateway.peers.take_join(message.from, now_ms);
    let (news, fleet_size) = gateway.peers.with_joined(now_ms, |joined| {
        let news = joined.update_for(&hall, message.has, now_ms);
        (news, joined.count(now_ms))
    });
    response::peer_message(&JoinAnswer {
        news,
        up_ms: now_ms,
        fleet_size,
        store_settles_in_ms: Some(gateway.store_settles_in_ms()).filter(|ms| *ms > 0),
    })
}
