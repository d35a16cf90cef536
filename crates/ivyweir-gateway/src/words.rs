//! What boxes tell each other, a few times a second: their words.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use ivyweir_policy::gateway::hall::{BoxRecord, asks};
use ivyweir_policy::gateway::word::{Word, WordMessage};
use serde_json::json;
use tokio::time::sleep;

use crate::answer::{self, AnswerBody, bare};
use crate::box_call;
use crate::client::Client;
use crate::state::Gateway;

/// Where boxes tell their word.
pub const WORD_PATH: &str = "/peer/word";
/// How often boxes tell each other; requests come and go within some hundred milliseconds.
const WORD_ROUND: Duration = Duration::from_millis(250);
/// Time for another box to answer.
const WORD_ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// Largest message between boxes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Tells other boxes this box's word and takes in theirs, for the life of the process.
pub async fn exchange(gateway: Arc<Gateway>) {
    let mut clients: HashMap<SocketAddr, Client> = HashMap::new();
    loop {
        sleep(WORD_ROUND).await;
        let now_ms = gateway.clock.now_ms();
        match gateway.peers.relay(&gateway.settings.hall, now_ms) {
            Some(relay) => {
                let message = own_message(&gateway, false, gateway.own_word());
                tell(&gateway, &mut clients, &relay, &message).await;
            }
            None => tell_other_halls(&gateway, &mut clients).await,
        }
        let word = others_word(&gateway, |_| false);
        gateway.take_others_word(word);
    }
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
        if asks(own_hall, &hall) || root.as_ref() == Some(&relay) {
            let message = own_message(gateway, true, hall_word(gateway));
            tell(gateway, clients, &relay, &message).await;
        }
    }
}

/// Tells a box a message and takes in what it answers.
async fn tell(
    gateway: &Gateway,
    clients: &mut HashMap<SocketAddr, Client>,
    to: &BoxRecord,
    message: &WordMessage,
) {
    let client = clients
        .entry(to.peer_addr)
        .or_insert_with(|| Client::new(to.peer_addr));
    let answer = box_call::post::<WordMessage>(client, WORD_PATH, message, WORD_ANSWER_LIMIT).await;
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
fn take_message(gateway: &Gateway, message: WordMessage, now_ms: u64) {
    if message.is_root && gateway.peers.yield_root(&message.from) {
        let detail = json!({"peer": message.from});
        gateway.log.line("root_yielded", detail);
    }
    // A box that hears nothing itself goes back to one that does at once, rather than after its pause.
    if message.hears && !gateway.hears_store() {
        gateway.peers.note_source(&message.from);
    }
    gateway.peers.take_word(&message.from, message.word, now_ms);
}

/// What boxes other than `except` told.
fn others_word(gateway: &Gateway, except: impl Fn(&str) -> bool) -> Word {
    let now_ms = gateway.clock.now_ms();
    gateway.peers.words_except(except, now_ms)
}

/// What this box and those of its hall that tell it have to say.
fn hall_word(gateway: &Gateway) -> Word {
    let hall = &gateway.settings.hall;
    let mut word = others_word(gateway, |from| !gateway.peers.is_of_hall(from, hall));
    word.add(&gateway.own_word());
    word
}

/// This box's message.
fn own_message(gateway: &Gateway, for_hall: bool, word: Word) -> WordMessage {
    WordMessage {
        from: gateway.settings.box_name.clone(),
        for_hall,
        is_root: gateway.histories.is_root(),
        hears: gateway.hears_store(),
        word,
    }
}

/// Answers a box that tells its word with what it should know of the others.
pub async fn answer(gateway: &Gateway, request: Request<Incoming>) -> Response<AnswerBody> {
    let message = box_call::read_message::<WordMessage>(request, MAX_MESSAGE_BYTES);
    let Some(message) = message.await else {
        return bare(StatusCode::BAD_REQUEST);
    };
    let now_ms = gateway.clock.now_ms();
    let word = if message.for_hall {
        hall_word(gateway)
    } else {
        let mut word = others_word(gateway, |from| *from == *message.from);
        word.add(&gateway.own_word());
        word
    };
    let for_hall = message.for_hall;
    take_message(gateway, message, now_ms);
    answer::message(&own_message(gateway, for_hall, word))
}
