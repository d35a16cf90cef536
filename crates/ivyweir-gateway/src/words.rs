//! What boxes tell each other, a few times a second: their words.
//!
//! A relay tells all boxes of its hall the same sum of work, theirs included, and each takes its own off:
//! a sum for each of 75 boxes took the square of their number.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::duty::usage::UpdateContent;
use ivyweir_policy::gateway::peer_report::{
    PeerReport, PeerReportMessage, Work, add_retry_counts, add_tallies, subtract_work,
};
use ivyweir_policy::gateway::relay::{BoxRecord, polls};
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::box_call;
use crate::client::Client;
use crate::response::{self, ResponseBody, status_only};
use crate::state::Gateway;

/// Where boxes tell their word.
pub const WORD_PATH: &str = "/peer/word";
/// How often boxes tell each other; requests come and go within some hundred milliseconds.
const WORD_ROUND_MS: u64 = 250;
/// Boxes of a hall up to which they keep to that. An empty word and its answer take some 450 bytes with their
/// heads, by reckoning: 54 KB a second at the relay of 30 boxes.
const WORD_ROUND_BOXES: u64 = 30;
/// The longest round: what is told counts for twice as long.
const WORD_ROUND_MAX_MS: u64 = 600;
/// The shortest pause between a box's words: where hundreds of upstreams leave at once, each departure would be a
/// message of its own.
const LEAST_PAUSE: Duration = Duration::from_millis(50);
/// Age up to which a relay tells the same sum of all boxes' words again.
const FLEET_SUM_MAX_AGE_MS: u64 = 100;
/// Time for another box to answer.
const WORD_ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// The same while boxes start together. Relays then pass on whole lists, and seeds answer everybody: behind a
/// link of 10 Mbit/s before 75 boxes answers came later than 0.4 s, and all left their relay.
const WORD_START_LIMIT: Duration = Duration::from_millis(1_500);
/// Largest message between boxes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Tells other boxes this box's word and takes in theirs, for the life of the process.
pub async fn exchange(gateway: Arc<Gateway>) {
    let mut clients: HashMap<SocketAddr, Client> = HashMap::new();
    // The relay's sum holds what it was told the last time.
    let mut last_told = Work::new();
    loop {
        sleep(LEAST_PAUSE).await;
        let round = round_of(gateway.peers.hall_size() as u64).saturating_sub(LEAST_PAUSE);
        // A quarantine or a departure is told at once: each moment another box may send a request.
        let _woken = timeout(round, gateway.until_urgent()).await;
        let now_ms = gateway.clock.now_ms();
        let mut word = match gateway.peers.relay(&gateway.settings.hall, now_ms) {
            Some(relay) => {
                let own = gateway.own_word();
                let told = std::mem::replace(&mut last_told, own.work.clone());
                let message = own_message(&gateway, &relay.name, false, own, UpdateContent::Rows);
                tell(&gateway, &mut clients, &relay, &message).await;
                let mut word = others_word(&gateway, |_| false);
                word.work = subtract_work(word.work, &told);
                word
            }
            None => {
                tell_other_halls(&gateway, &mut clients).await;
                let mut word = others_word(&gateway, |_| false);
                add_retry_counts(&mut word.repeats, &gateway.own_word().repeats);
                word
            }
        };
        word.work.retain(|_, work_ms| *work_ms > 0.0);
        gateway.take_others_word(word);
    }
}

/// Time between a box's words, by the number of boxes in its hall.
fn round_of(boxes: u64) -> Duration {
    let round_ms = WORD_ROUND_MS * boxes.max(WORD_ROUND_BOXES) / WORD_ROUND_BOXES;
    Duration::from_millis(round_ms.min(WORD_ROUND_MAX_MS))
}

/// Tells relays of other halls this hall's word.
async fn tell_other_halls(gateway: &Gateway, clients: &mut HashMap<SocketAddr, Client>) {
    let own_hall = &gateway.settings.hall;
    let root = gateway.peers.root();
    for hall in gateway.peers.halls() {
        if hall == *own_hall {
            continue;
        }
        let Some(relay) = gateway.peers.relay(&hall, gateway.clock.now_ms()) else {
            continue;
        };
        // Each pair of relays talks once a round; whoever hears from the other must notice its loss.
        if polls(own_hall, &hall) || root.as_ref() == Some(&relay) {
            let word = hall_word(gateway);
            let message = own_message(gateway, &relay.name, true, word, UpdateContent::Rows);
            tell(gateway, clients, &relay, &message).await;
        }
    }
}

/// Tells a box a message and takes in what it answers.
async fn tell(
    gateway: &Gateway,
    clients: &mut HashMap<SocketAddr, Client>,
    to: &BoxRecord,
    message: &PeerReportMessage,
) {
    let client = clients
        .entry(to.peer_addr)
        .or_insert_with(|| Client::new(to.peer_addr));
    let limit = if gateway.peers.is_young() {
        WORD_START_LIMIT
    } else {
        WORD_ANSWER_LIMIT
    };
    let answer = box_call::post::<PeerReportMessage>(client, WORD_PATH, message, limit).await;
    let now_ms = gateway.clock.now_ms();
    match answer {
        Ok(answer) => {
            gateway.peers.note_answered(&to.name);
            take_message(gateway, answer, now_ms);
        }
        Err(_) => {
            clients.remove(&to.peer_addr);
            gateway.peers.note_silent(&to.name, now_ms);
            gateway
                .log
                .line("peer_lost", json!({"peer": to.name, "about": "word"}));
        }
    }
}

/// Takes in what a box told.
fn take_message(gateway: &Gateway, message: PeerReportMessage, now_ms: u64) {
    if message.is_root && gateway.peers.yield_root(&message.from) {
        let detail = json!({"peer": message.from});
        gateway.log.line("root_yielded", detail);
    }
    // A box that hears nothing itself goes back to one that does at once, rather than after its pause.
    if message.hears && !gateway.hears_store() {
        gateway.peers.note_source(&message.from);
    }
    gateway.hear_departures(&message.departures);
    gateway.hear_limits(&message.limits);
    if let Some(news) = message.quarantine {
        gateway.hear_ledger(&message.from, news);
    }
    if let Some(news) = message.usage {
        gateway.hear_usage(&message.from, news, !message.for_hall);
    }
    gateway.peers.take_word(&message.from, message.word, now_ms);
}

/// What boxes other than `except` told.
fn others_word(gateway: &Gateway, except: impl Fn(&str) -> bool) -> PeerReport {
    let now_ms = gateway.clock.now_ms();
    gateway.peers.words_except(except, now_ms)
}

/// What this box and those of its hall that tell it have to say.
fn hall_word(gateway: &Gateway) -> PeerReport {
    let hall = &gateway.settings.hall;
    let mut word = others_word(gateway, |from| !gateway.peers.is_of_hall(from, hall));
    word.add(&gateway.own_word());
    word
}

/// What a box of this hall is told: all work and repeats, its own included, and the counts of all others.
fn word_for(gateway: &Gateway, asker: &Name, now_ms: u64) -> PeerReport {
    let own = gateway.own_word();
    let (work, repeats) = gateway.peers.fleet_sum(FLEET_SUM_MAX_AGE_MS, now_ms, &own);
    let mut tallies = gateway.peers.tallies_except(asker, now_ms);
    add_tallies(&mut tallies, &own.tallies);
    PeerReport {
        work,
        tallies,
        repeats,
        ..PeerReport::default()
    }
}

/// This box's message to another one.
fn own_message(
    gateway: &Gateway,
    to: &Name,
    for_hall: bool,
    word: PeerReport,
    telling: UpdateContent,
) -> PeerReportMessage {
    PeerReportMessage {
        from: gateway.settings.box_name.clone(),
        for_hall,
        is_root: gateway.histories.is_root(),
        hears: gateway.hears_store(),
        word,
        departures: gateway.departures(),
        limits: gateway.limits(),
        quarantine: gateway.ledger_news_for(to),
        usage: gateway.usage_news_for(to, telling),
    }
}

/// Answers a box that tells its word with what it should know of the others.
pub async fn answer(gateway: &Gateway, request: Request<Incoming>) -> Response<ResponseBody> {
    let message = box_call::read_message::<PeerReportMessage>(request, MAX_MESSAGE_BYTES);
    let Some(message) = message.await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let now_ms = gateway.clock.now_ms();
    let word = if message.for_hall {
        hall_word(gateway)
    } else {
        word_for(gateway, &message.from, now_ms)
    };
    let (asker, for_hall) = (message.from.clone(), message.for_hall);
    take_message(gateway, message, now_ms);
    // Boxes of the hall sum nothing up.
    let telling = if for_hall {
        UpdateContent::Rows
    } else {
        UpdateContent::AckOnly
    };
    response::peer_message(&own_message(gateway, &asker, for_hall, word, telling))
}
