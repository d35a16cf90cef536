//! How documents reach this box and go on to others: watches, pushes, and repair by digest.

use std::time::Duration;

use ivyweir_peer::{BOX_LIST_DOCUMENT, CONFIG_DOCUMENT, pb};
use ivyweir_platform::{Object, Precondition, PutOutcome, WatchOutcome};
use ivyweir_policy::membership::Health;
use ivyweir_policy::{BoxState, Config, Operator, Role, SessionKey, hash};

use crate::clock::Clock;
use crate::config::Adoption;
use crate::digest::{self, Lacking, Tell};
use crate::dispatcher::FleetSnapshot;
use crate::node::Node;

/// Name of the configuration in the store.
pub const CONFIG_OBJECT: &str = "config";

/// Boxes per hall that watch the store.
const WATCHERS_PER_HALL: usize = 2;
/// Longest wait of one watch; a proof is at most this much older than its answer.
const WATCH_MS: u64 = 1_000;
/// Time between two looks at the box list.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between two tries after the store failed.
const STORE_RETRY: Duration = Duration::from_millis(250);
/// Time after which a box that hears nobody looks at the store itself.
const IDLE: Duration = Duration::from_millis(200);

/// Whether this box is one of its hall's watchers.
fn is_watcher(node: &Node) -> bool {
    let serving = node.serving();
    let in_hall: Vec<&str> = serving
        .iter()
        .filter(|m| m.hall == node.settings.hall)
        .map(|m| m.name.as_ref())
        .collect();
    let key = format!("watch/{}", node.settings.hall);
    let top = hash::rendezvous_top(&key, in_hall, WATCHERS_PER_HALL);
    node.config.generation() == 0 || top.contains(&node.me.box_name.as_ref())
}

/// Watches the configuration for as long as this box is a watcher of its hall.
pub fn watch_config(node: &Node) {
    let mut seen_revision = 0;
    let mut seen_generation = 0;
    while !node.is_stopped() {
        if !is_watcher(node) {
            node.pause(IDLE);
            continue;
        }
        let asked_ms = node.clock.now_ms();
        node.metrics.store_call("watch");
        match node.store.watch(CONFIG_OBJECT, seen_revision, WATCH_MS) {
            Ok(WatchOutcome::Unchanged) => node.config.prove(seen_generation, Some(asked_ms)),
            Ok(WatchOutcome::Absent) => create_first(node),
            Ok(WatchOutcome::Changed(object)) => {
                seen_revision = object.revision;
                seen_generation = take_from_store(node, &object, asked_ms);
            }
            Err(_) => node.pause(STORE_RETRY),
        }
    }
}

/// Takes in the store's configuration. Returns its generation.
fn take_from_store(node: &Node, object: &Object, asked_ms: u64) -> u64 {
    match take_config(node, &object.body, Some(asked_ms)) {
        Adoption::Older => repair_store(node, object.revision),
        Adoption::Unreadable => log::error!("the store's configuration cannot be read"),
        Adoption::Forked => log::error!("the store holds another configuration of this generation"),
        Adoption::Adopted | Adoption::Same => {}
    }
    Config::from_slice(&object.body).map_or(0, |c| c.generation)
}

/// Writes the configuration in force over an older one: the store was set back.
fn repair_store(node: &Node, revision: u64) {
    let current = node.current();
    node.metrics.store_call("config_repair");
    let put = node.store.put(
        CONFIG_OBJECT,
        &current.body,
        Precondition::Revision(revision),
    );
    if let Ok(PutOutcome::Written { .. }) = put {
        log::warn!(
            "the store was set back; wrote generation {} again",
            current.config.generation
        );
    }
}

/// Makes the first configuration of an empty store, if this box was told the first operator.
fn create_first(node: &Node) {
    let current = node.current();
    if current.config.generation > 0 {
        node.metrics.store_call("config_repair");
        // Whether it was written shows at the next watch.
        let _shown_later = node
            .store
            .put(CONFIG_OBJECT, &current.body, Precondition::Absent);
        return;
    }
    let Some(key_hash) = node.settings.bootstrap_operator_key_hash.clone() else {
        node.pause(STORE_RETRY);
        return;
    };
    let mut first = Config {
        generation: 1,
        ..Config::default()
    };
    let operator = Operator {
        key_hash,
        role: Role::Editor,
    };
    first.operators.insert("root".into(), operator);
    first.session_keys.push(new_session_key());
    node.metrics.store_call("config_create");
    // Whether it was written, and by whom, shows at the next watch.
    let _shown_later = node
        .store
        .put(CONFIG_OBJECT, &first.to_vec(), Precondition::Absent);
}

/// A key for session tokens, from the system's randomness.
pub fn new_session_key() -> SessionKey {
    let secret: [u8; 32] = rand::random();
    let created_ms = Clock::epoch_ms();
    SessionKey {
        id: format!("k{created_ms}").into(),
        secret_hex: blake3::Hash::from(secret).to_hex().as_str().into(),
        created_ms,
    }
}

/// Offers a configuration to this box, wherever it comes from, and passes a new one on.
pub fn take_config(node: &Node, body: &[u8], proof_ms: Option<u64>) -> Adoption {
    let adoption = node.config.offer(body, proof_ms);
    if adoption == Adoption::Adopted {
        let generation = node.config.generation();
        node.metrics.generation.record(generation, &[]);
        node.with_members(|table, _, _| table.set_generation(generation));
        log::info!("configuration {generation} is in force");
    }
    adoption
}

/// Pushes the configuration in force to the boxes of this hall that do not have it.
pub fn push_config(node: &Node) {
    let document = config_document(node);
    push_in_hall(node, &document, |generation| {
        generation < document.generation
    });
}

fn config_document(node: &Node) -> pb::Document {
    let request = pb::FetchRequest {
        kind: CONFIG_DOCUMENT,
        above_generation: 0,
    };
    give_document(node, &request)
}

fn push_in_hall(node: &Node, document: &pb::Document, lacks: impl Fn(u64) -> bool) {
    let serving = node.serving();
    let lacking = serving
        .iter()
        .filter(|m| m.name != node.me.box_name && m.hall == node.settings.hall)
        .filter(|m| lacks(m.generation));
    for member in lacking {
        // Who misses it hears of it by digest.
        let _missed = node.peers.push(&member.peer_addr, document.clone());
    }
}

/// Pushes new configurations to this hall for as long as the box runs.
pub fn push_changes(node: &Node) {
    let mut pushed = 0;
    while !node.is_stopped() {
        let generation = node.config.generation();
        if generation > pushed && is_watcher(node) {
            push_config(node);
            pushed = generation;
        }
        node.pause(PUSH_POLL);
    }
}

const PUSH_POLL: Duration = Duration::from_millis(10);

/// Looks at the box list for as long as this box is a watcher of its hall.
pub fn watch_boxes(node: &Node) {
    while !node.is_stopped() {
        if node.box_list.get().generation > 0 && !is_watcher(node) {
            node.pause(IDLE);
            continue;
        }
        node.metrics.store_call("box_list");
        match node.boxes.box_list() {
            Ok(body) => {
                take_box_list(node, &body);
                node.pause(LIST_INTERVAL);
            }
            Err(_) => node.pause(STORE_RETRY),
        }
    }
}

/// Offers a box list to this box; a new one goes on to the hall.
pub fn take_box_list(node: &Node, body: &[u8]) -> bool {
    let Some(list) = node.box_list.offer(body) else {
        return false;
    };
    node.with_members(|table, _, _| table.apply_box_list(&list));
    let moment = FleetSnapshot {
        now_ms: node.clock.now_ms(),
        live_boxes: node.live_boxes(),
    };
    node.gate.apply_box_list(&list, moment);
    let leaves = list
        .boxes
        .iter()
        .any(|b| b.name == node.me.box_name && b.state == BoxState::Leaving);
    if leaves && node.drain() {
        log::info!("the box list says that this box leaves");
    }
    true
}

/// Exchanges digests with peers, in rounds, for as long as the box runs.
pub fn exchange_rounds(node: &Node) {
    let mut tell = Tell {
        members: true,
        sets: true,
        wants_sets: false,
    };
    while !node.is_stopped() {
        let timing = node.timing();
        let addrs = node.with_members(|table, timing, now_ms| {
            table.increment_heartbeat();
            table.remove_expired(timing, now_ms);
            table.next_partners(timing, now_ms)
        });
        let mut addrs: Vec<String> = addrs.iter().map(|a| a.to_string()).collect();
        if addrs.is_empty() {
            let own = &node.settings.peer_addr;
            addrs = node
                .settings
                .seed_peers
                .iter()
                .filter(|p| *p != own)
                .cloned()
                .collect();
        }
        tell = exchange(node, &addrs, tell);
        node.count_live_boxes();
        node.pause(Duration::from_millis(timing.period_ms));
    }
}

/// One round. Returns what to tell in the next.
fn exchange(node: &Node, addrs: &[String], tell: Tell) -> Tell {
    let digest = digest::build(node, tell);
    node.metrics.exchanges.add(addrs.len() as u64, &[]);
    let mut next = Tell::default();
    for answer in node.peers.exchange_all(addrs, &digest) {
        count_bytes(node, [&digest, &answer]);
        let lacking = take_digest(node, &answer);
        next.members |= lacking.members;
        next.wants_sets |= lacking.sets;
        next.sets |= answer.wants_sets;
    }
    next
}

/// Counts digests that this box sent and received.
pub fn count_bytes(node: &Node, digests: [&pb::Digest; 2]) {
    let bytes = digests.map(|d| ivyweir_peer::encoded_len(d) as u64);
    node.metrics.digest_bytes.add(bytes.iter().sum(), &[]);
}

/// Takes in a digest and fetches what its sender has newer. Returns what this box lacked.
fn take_digest(node: &Node, digest: &pb::Digest) -> Lacking {
    let lacking = digest::merge(node, digest);
    let sender = node.member(&digest.r#box);
    if let Some(sender) = sender {
        if lacking.config {
            fetch(node, &sender.peer_addr, CONFIG_DOCUMENT);
        }
        if lacking.box_list {
            fetch(node, &sender.peer_addr, BOX_LIST_DOCUMENT);
        }
        if lacking.is_behind {
            // Who misses it hears of it again in the next round.
            let _missed = node.peers.push(&sender.peer_addr, config_document(node));
        }
    }
    lacking
}

fn fetch(node: &Node, addr: &str, kind: u32) {
    let above_generation = match kind {
        CONFIG_DOCUMENT => node.config.generation(),
        _ => node.box_list.get().generation,
    };
    let request = pb::FetchRequest {
        kind,
        above_generation,
    };
    if let Ok(document) = node.peers.fetch(addr, request) {
        take_document(node, &document);
    }
}

/// Takes in a document from a peer. Returns whether it was of use.
pub fn take_document(node: &Node, document: &pb::Document) -> bool {
    if document.body.is_empty() {
        return false;
    }
    match document.kind {
        CONFIG_DOCUMENT => {
            let now_ms = node.clock.now_ms();
            let proof_ms = document
                .proof_age_ms
                .map(|age| now_ms.saturating_sub(u64::from(age)));
            take_config(node, &document.body, proof_ms) == Adoption::Adopted
        }
        BOX_LIST_DOCUMENT => take_box_list(node, &document.body),
        _ => false,
    }
}

/// Gives a document to a peer.
pub fn give_document(node: &Node, request: &pb::FetchRequest) -> pb::Document {
    let current = node.current();
    let now_ms = node.clock.now_ms();
    let (generation, body, proof_age_ms) = match request.kind {
        CONFIG_DOCUMENT => (
            current.config.generation,
            current.body.clone(),
            node.config.proof_age_ms(now_ms).map(|age| age as u32),
        ),
        _ => (node.box_list.get().generation, node.box_list.body(), None),
    };
    if generation <= request.above_generation {
        return pb::Document::default();
    }
    pb::Document {
        kind: request.kind,
        generation,
        body: body.to_vec(),
        proof_age_ms,
    }
}

/// The box and incarnation that answers for another's sessions now, with its address.
pub fn authority_addr(node: &Node, box_name: &str, incarnation: u64) -> Option<String> {
    node.with_members(|table, timing, now_ms| {
        let record = table.get(box_name)?;
        let same = record.incarnation == incarnation;
        let alive = table.health(box_name, timing, now_ms) != Health::Dead;
        (same && alive).then(|| record.peer_addr.to_string())
    })
}
