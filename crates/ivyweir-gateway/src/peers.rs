//! Boxes among themselves: who they are, and what they tell each other.
//!
//! One box of each hall, its relay, watches the store; the others of the hall ask the relay. So the calls
//! to the store grow with halls, not with boxes. Every box tells its relay its work under way and its counts
//! of a roll-out's answers, and hears the fleet's; relays tell each other the sums of their halls. A box whose relay fails asks the store itself.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::relay::{OthersWords, Shunned, Word, WordMessage, relay_of};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::dialect::{BoxRecord, Item, Topic};
use crate::refusal::{AnswerBody, whole};
use crate::relay_source;
use crate::state::Gateway;
use crate::store::{ANSWER_LIMIT, StoreClient, read_page};

/// How often boxes tell each other; requests come and go within some hundred milliseconds.
const WORD_ROUND: Duration = Duration::from_millis(250);
/// Time for another box to answer.
const WORD_ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// Pauses before the boxes are listed again: soon after the start, when all others start too, then seldom.
const LIST_PAUSES_S: [u64; 3] = [1, 3, 8];
const LIST_PAUSE_S: u64 = 15;
/// Largest message between boxes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// What a box knows of others.
#[derive(Debug)]
pub struct Peers {
    losses: watch::Sender<u64>,
    boxes: Mutex<HashMap<Name, BoxRecord>>,
    shunned: Mutex<Shunned>,
    others_words: Mutex<OthersWords>,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            losses: watch::Sender::new(0),
            boxes: Mutex::default(),
            shunned: Mutex::default(),
            others_words: Mutex::default(),
        }
    }
}

impl Peers {
    /// Takes in the boxes that the store lists.
    pub fn replace(&self, records: Vec<BoxRecord>) {
        let by_name = records.into_iter().map(|r| (r.name.clone(), r));
        *lock(&self.boxes) = by_name.collect();
    }

    /// Takes in that a box did not answer as it should.
    pub fn failed(&self, name: &Name, now_ms: u64) {
        lock(&self.shunned).failed(name, now_ms);
        self.losses.send_modify(|count| *count += 1);
    }

    /// Waits until a box is left alone because it did not answer somebody.
    pub async fn lost(&self, name: &Name, clock: Clock) {
        let mut losses = self.losses.subscribe();
        while !lock(&self.shunned).contains(name, clock.now_ms()) {
            // The sender lives as long as the box's state.
            let _changed = losses.changed().await;
        }
    }

    /// Takes in that a box answered.
    pub fn answered(&self, name: &Name) {
        lock(&self.shunned).answered(name);
    }

    /// The relay of a hall, unless it is the box `me` itself.
    pub fn relay(&self, hall: &str, me: &Name, now_ms: u64) -> Option<BoxRecord> {
        let boxes = lock(&self.boxes);
        let shunned = lock(&self.shunned);
        let usable = boxes
            .values()
            .filter(|b| &*b.hall == hall)
            .map(|b| &b.name)
            .filter(|name| *name == me || !shunned.contains(name, now_ms));
        let relay = relay_of(hall, usable)?;
        (relay != me).then(|| boxes[relay].clone())
    }

    /// Halls that have boxes.
    fn halls(&self) -> Vec<Name> {
        let boxes = lock(&self.boxes);
        let mut halls: Vec<Name> = boxes.values().map(|b| b.hall.clone()).collect();
        halls.sort();
        halls.dedup();
        halls
    }

    fn is_of_hall(&self, name: &str, hall: &str) -> bool {
        lock(&self.boxes)
            .get(name)
            .is_some_and(|b| &*b.hall == hall)
    }
}

/// Keeps this box's record in the store and the list of the others.
pub async fn keep_listed(gateway: Arc<Gateway>) {
    let mut client = StoreClient::new(gateway.settings.store_addr);
    let mut listed = false;
    let mut pauses = LIST_PAUSES_S.iter();
    while gateway.stopping_for_ms().is_none() {
        if !listed {
            listed = add_self(&gateway, &mut client).await;
        }
        let pause_s = pauses.next().copied().unwrap_or(LIST_PAUSE_S);
        sleep(Duration::from_secs(pause_s)).await;
        if let Some(records) = list(&gateway, &mut client).await {
            let me = &gateway.settings.box_name;
            // A record that says otherwise is an earlier process's of this name.
            listed = records.iter().any(|r| *r == own_record(&gateway));
            if !listed && records.iter().any(|r| r.name == *me) {
                let request = gateway.codec.remove_box(me);
                let _tried_again_next_time = client.call(request, ANSWER_LIMIT).await;
            }
            gateway.peers.replace(records);
        }
    }
}

/// Takes this box's record out of the store before it stops.
pub async fn unlist(gateway: &Gateway) {
    let mut client = StoreClient::new(gateway.settings.store_addr);
    let request = gateway.codec.remove_box(&gateway.settings.box_name);
    if let Err(e) = client.call(request, ANSWER_LIMIT).await {
        gateway
            .log
            .line("box_not_unlisted", json!({"error": e.to_string()}));
    }
}

fn own_record(gateway: &Gateway) -> BoxRecord {
    let settings = &gateway.settings;
    BoxRecord {
        name: settings.box_name.clone(),
        hall: settings.hall.clone(),
        peer_addr: settings.peer_addr,
    }
}

async fn add_self(gateway: &Gateway, client: &mut StoreClient) -> bool {
    let request = gateway.codec.add_box(&own_record(gateway));
    match client.call(request, ANSWER_LIMIT).await {
        Ok(answer) => answer.status.is_success() || answer.status == StatusCode::CONFLICT,
        Err(e) => {
            gateway
                .log
                .line("box_not_listed", json!({"error": e.to_string()}));
            false
        }
    }
}

async fn list(gateway: &Gateway, client: &mut StoreClient) -> Option<Vec<BoxRecord>> {
    let mut records = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let page = read_page(client, &*gateway.codec, Topic::Boxes, after.as_deref()).await;
        let page = page.ok()?;
        for entry in page.entries {
            match entry {
                Ok(Item::Box(record)) => records.push(record),
                Ok(_) => {}
                Err(e) => gateway.log.line(
                    "record_unreadable",
                    json!({"topic": "boxes", "error": e.to_string()}),
                ),
            }
        }
        after = page.next_after;
        if after.is_none() {
            return Some(records);
        }
    }
}

/// Tells other boxes this box's word and takes in theirs.
pub async fn exchange_words(gateway: Arc<Gateway>) {
    let mut clients: HashMap<Name, StoreClient> = HashMap::new();
    loop {
        sleep(WORD_ROUND).await;
        let me = &gateway.settings.box_name;
        let hall = &gateway.settings.hall;
        let now_ms = gateway.clock.now_ms();
        match gateway.peers.relay(hall, me, now_ms) {
            Some(relay) => {
                let message = WordMessage {
                    from: me.clone(),
                    for_hall: false,
                    word: gateway.own_word(),
                };
                tell(&gateway, &mut clients, &relay, &message).await;
            }
            None => tell_other_halls(&gateway, &mut clients).await,
        }
        let word = others_word(&gateway, |_| false);
        gateway.take_others_word(word);
    }
}

async fn tell_other_halls(gateway: &Gateway, clients: &mut HashMap<Name, StoreClient>) {
    let me = &gateway.settings.box_name;
    for hall in gateway.peers.halls() {
        if hall == gateway.settings.hall {
            continue;
        }
        let now_ms = gateway.clock.now_ms();
        let Some(relay) = gateway.peers.relay(&hall, me, now_ms) else {
            continue;
        };
        // Each pair of relays talks once a round: the first by name asks.
        if *me < relay.name {
            let message = WordMessage {
                from: me.clone(),
                for_hall: true,
                word: hall_word(gateway),
            };
            tell(gateway, clients, &relay, &message).await;
        }
    }
}

async fn tell(
    gateway: &Gateway,
    clients: &mut HashMap<Name, StoreClient>,
    to: &BoxRecord,
    message: &WordMessage,
) {
    let body =
        Bytes::from(serde_json::to_vec(message).expect("invariant: messages are valid JSON"));
    let request = Request::builder()
        .method(Method::POST)
        .uri("/peer/word")
        .header(hyper::header::HOST, to.peer_addr.to_string())
        .body(body)
        .expect("invariant: all parts are valid");
    let client = clients
        .entry(to.name.clone())
        .or_insert_with(|| StoreClient::new(to.peer_addr));
    let answer = client.call(request, WORD_ANSWER_LIMIT).await;
    let told: Option<WordMessage> = match answer {
        Ok(answer) if answer.status == StatusCode::OK => serde_json::from_slice(&answer.body).ok(),
        _ => None,
    };
    let now_ms = gateway.clock.now_ms();
    match told {
        Some(told) => {
            gateway.peers.answered(&to.name);
            lock(&gateway.peers.others_words).put(&told.from, told.word, now_ms);
        }
        None => {
            clients.remove(&to.name);
            gateway.peers.failed(&to.name, now_ms);
            gateway
                .log
                .line("peer_lost", json!({"peer": to.name, "about": "word"}));
        }
    }
}

/// What boxes other than `except` told.
fn others_word(gateway: &Gateway, except: impl Fn(&str) -> bool) -> Word {
    let now_ms = gateway.clock.now_ms();
    lock(&gateway.peers.others_words).sum_except(except, now_ms)
}

/// What this box and those of its hall that tell it have to say.
fn hall_word(gateway: &Gateway) -> Word {
    let hall = &gateway.settings.hall;
    let mut word = others_word(gateway, |from| !gateway.peers.is_of_hall(from, hall));
    word.add(&gateway.own_word());
    word
}

/// Answers other boxes.
pub async fn handle(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    if gateway.stopping_for_ms().is_some() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/peer/word" => answer_word(&gateway, request).await,
        "/peer/follow" => relay_source::answer(&gateway, request.uri().query()).await,
        _ => status(StatusCode::NOT_FOUND),
    }
}

async fn answer_word(gateway: &Gateway, request: Request<Incoming>) -> Response<AnswerBody> {
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect();
    let Ok(body) = body.await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let Ok(message) = serde_json::from_slice::<WordMessage>(&body.to_bytes()) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let now_ms = gateway.clock.now_ms();
    let word = if message.for_hall {
        hall_word(gateway)
    } else {
        let mut word = others_word(gateway, |from| *from == *message.from);
        word.add(&gateway.own_word());
        word
    };
    lock(&gateway.peers.others_words).put(&message.from, message.word, now_ms);
    let answer = WordMessage {
        from: gateway.settings.box_name.clone(),
        for_hall: message.for_hall,
        word,
    };
    json_answer(&answer)
}

/// An answer to another box.
pub fn json_answer(answer: &impl serde::Serialize) -> Response<AnswerBody> {
    let body = serde_json::to_vec(answer).expect("invariant: messages are valid JSON");
    Response::new(whole(Bytes::from(body)))
}

/// An answer that is only a status.
pub fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut answer = Response::new(whole(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("invariant: no holder panics")
}
