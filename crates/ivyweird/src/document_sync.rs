//! Distribution of the configuration and the box list: watches on the platform, pushes within a
//! hall, and anti-entropy by digest exchange.

use std::time::Duration;

use ivyweir_peer::{BOX_LIST_DOCUMENT, CONFIG_DOCUMENT, pb};
use ivyweir_platform::{Object, Precondition, PutOutcome, WatchOutcome};
use ivyweir_policy::membership::Health;
use ivyweir_policy::{BoxState, Config, Operator, Role, SessionKey, hash};

use crate::clock::Clock;
use crate::config::OfferOutcome;
use crate::digest::{self, DigestDiff, DigestOptions};
use crate::dispatcher::FleetSnapshot;
use crate::node::Node;

/// Name of the store object that contains the configuration.
pub const CONFIG_OBJECT: &str = "config";

/// Number of boxes per hall that watch the store.
const WATCHERS_PER_HALL: usize = 2;
/// Maximum duration of one watch request. A proof dates from the start of the request, so it is at
/// most this much older than the reply.
const WATCH_TIMEOUT_MS: u64 = 1_000;
/// Interval between polls of the box list.
const BOX_LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Delay before the store or the box list is read again after a failure.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval at which a box that is not a watcher checks whether it has become one, for example
/// because it is in contact with no other box.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Returns whether this box is one of the watchers of its hall. A box without a configuration
/// always is.
fn is_watcher(node: &Node) -> bool {
    let serving = node.serving_members();
    let in_hall: Vec<&str> = serving
        .iter()
        .filter(|m| m.hall == node.settings.hall)
        .map(|m| m.name.as_ref())
        .collect();
    let key = format!("watch/{}", node.settings.hall);
    let top = hash::rendezvous_top(&key, in_hall, WATCHERS_PER_HALL);
    node.config.generation() == 0 || top.contains(&node.incarnation.box_name.as_ref())
}

/// Watches the stored configuration whenever this box is a watcher, until the box stops.
pub fn watch_config(node: &Node) {
    let mut seen_revision = 0;
    let mut seen_generation = 0;
    while !node.is_stopped() {
        if !is_watcher(node) {
            node.pause(WATCHER_CHECK_INTERVAL);
            continue;
        }
        let requested_ms = node.clock.now_ms();
        node.metrics.count_store_call("watch");
        match node
            .store
            .watch(CONFIG_OBJECT, seen_revision, WATCH_TIMEOUT_MS)
        {
            Ok(WatchOutcome::Unchanged) => node
                .config
                .record_proof(seen_generation, Some(requested_ms)),
            Ok(WatchOutcome::Absent) => create_initial_config(node),
            Ok(WatchOutcome::Changed(object)) => {
                seen_revision = object.revision;
                seen_generation = apply_stored_config(node, &object, requested_ms);
            }
            Err(_) => node.pause(STORE_RETRY_DELAY),
        }
    }
}

/// Applies the configuration read from the store. Returns its generation, or 0 if it is not valid.
fn apply_stored_config(node: &Node, object: &Object, requested_ms: u64) -> u64 {
    match apply_config(node, &object.body, Some(requested_ms)) {
        OfferOutcome::Older => repair_store(node, object.revision),
        OfferOutcome::Invalid => log::error!("the stored configuration is not valid"),
        OfferOutcome::Forked => {
            log::error!(
                "the stored configuration differs from the active one of the same generation"
            )
        }
        OfferOutcome::Adopted | OfferOutcome::Unchanged => {}
    }
    Config::from_slice(&object.body).map_or(0, |c| c.generation)
}

/// Overwrites an older configuration in the store with the active one, after the store was restored
/// to an earlier state.
fn repair_store(node: &Node, revision: u64) {
    let current = node.current();
    node.metrics.count_store_call("config_repair");
    let put = node.store.put(
        CONFIG_OBJECT,
        &current.body,
        Precondition::Revision(revision),
    );
    if let Ok(PutOutcome::Written { .. }) = put {
        log::warn!(
            "the store contained an older configuration; restored generation {}",
            current.config.generation
        );
    }
}

/// Creates the configuration in a store that has none: the active one, or else an initial one if
/// the settings contain the bootstrap operator's key hash.
fn create_initial_config(node: &Node) {
    let current = node.current();
    if current.config.generation > 0 {
        node.metrics.count_store_call("config_repair");
        // The next watch shows whether the write succeeded.
        let _seen_by_next_watch =
            node.store
                .put(CONFIG_OBJECT, &current.body, Precondition::Absent);
        return;
    }
    let Some(key_hash) = node.settings.bootstrap_operator_key_hash.clone() else {
        node.pause(STORE_RETRY_DELAY);
        return;
    };
    let mut initial = Config {
        generation: 1,
        ..Config::default()
    };
    let operator = Operator {
        key_hash,
        role: Role::Editor,
    };
    initial.operators.insert("root".into(), operator);
    initial.session_keys.push(new_session_key());
    node.metrics.count_store_call("config_create");
    // The next watch shows whether this write or that of another box succeeded.
    let _seen_by_next_watch =
        node.store
            .put(CONFIG_OBJECT, &initial.to_vec(), Precondition::Absent);
}

/// Generates a random key for session tokens.
pub fn new_session_key() -> SessionKey {
    let secret: [u8; 32] = rand::random();
    let created_ms = Clock::epoch_ms();
    SessionKey {
        id: format!("k{created_ms}").into(),
        secret_hex: blake3::Hash::from(secret).to_hex().as_str().into(),
        created_ms,
    }
}

/// Applies a configuration from any source if it is newer than the active one.
///
/// `proof_ms` is when it was verified to be the latest, if known.
pub fn apply_config(node: &Node, body: &[u8], proof_ms: Option<u64>) -> OfferOutcome {
    let outcome = node.config.offer(body, proof_ms);
    if outcome == OfferOutcome::Adopted {
        let generation = node.config.generation();
        node.metrics.generation.record(generation, &[]);
        node.with_members(|table, _, _| table.set_generation(generation));
        log::info!("configuration generation {generation} is active");
    }
    outcome
}

/// Pushes the active configuration to the boxes of this hall that have an older one.
pub fn push_config(node: &Node) {
    let document = config_document(node);
    push_to_hall(node, &document, |generation| {
        generation < document.generation
    });
}

fn config_document(node: &Node) -> pb::Document {
    let request = pb::FetchRequest {
        kind: CONFIG_DOCUMENT,
        above_generation: 0,
    };
    document_reply(node, &request)
}

fn push_to_hall(node: &Node, document: &pb::Document, needs_push: impl Fn(u64) -> bool) {
    let serving = node.serving_members();
    let targets = serving
        .iter()
        .filter(|m| m.name != node.incarnation.box_name && m.hall == node.settings.hall)
        .filter(|m| needs_push(m.generation));
    for member in targets {
        // A member that does not receive the push learns of the document by digest exchange.
        let _missed = node.peers.push(&member.peer_addr, document.clone());
    }
}

/// Pushes each new configuration to this hall if this box is a watcher, until the box stops.
pub fn push_changes(node: &Node) {
    let mut pushed_generation = 0;
    while !node.is_stopped() {
        let generation = node.config.generation();
        if generation > pushed_generation && is_watcher(node) {
            push_config(node);
            pushed_generation = generation;
        }
        node.pause(PUSH_CHECK_INTERVAL);
    }
}

const PUSH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Polls the box list whenever this box is a watcher, until the box stops.
pub fn poll_box_list(node: &Node) {
    while !node.is_stopped() {
        if node.box_list.get().generation > 0 && !is_watcher(node) {
            node.pause(WATCHER_CHECK_INTERVAL);
            continue;
        }
        node.metrics.count_store_call("box_list");
        match node.box_source.box_list() {
            Ok(body) => {
                apply_box_list(node, &body);
                node.pause(BOX_LIST_INTERVAL);
            }
            Err(_) => node.pause(STORE_RETRY_DELAY),
        }
    }
}

/// Applies a box list if it is newer than the current one. Returns whether it is.
pub fn apply_box_list(node: &Node, body: &[u8]) -> bool {
    let Some(list) = node.box_list.offer(body) else {
        return false;
    };
    node.with_members(|table, _, _| table.apply_box_list(&list));
    let snapshot = FleetSnapshot {
        now_ms: node.clock.now_ms(),
        live_boxes: node.live_boxes(),
    };
    node.dispatcher.apply_box_list(&list, snapshot);
    let is_leaving = list
        .boxes
        .iter()
        .any(|b| b.name == node.incarnation.box_name && b.state == BoxState::Leaving);
    if is_leaving && node.drain() {
        log::info!("the box list marks this box as leaving; draining");
    }
    true
}

/// Exchanges digests with peers once per gossip period, until the box stops.
pub fn run_exchanges(node: &Node) {
    let mut options = DigestOptions {
        members: true,
        version_sets: true,
        wants_version_sets: false,
    };
    while !node.is_stopped() {
        let timing = node.gossip_timing();
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
        options = exchange(node, &addrs, options);
        node.update_live_boxes();
        node.pause(Duration::from_millis(timing.period_ms));
    }
}

/// Exchanges digests with the given peers. Returns the options for the next round.
fn exchange(node: &Node, addrs: &[String], options: DigestOptions) -> DigestOptions {
    let digest = digest::build(node, options);
    node.metrics.exchanges.add(addrs.len() as u64, &[]);
    let mut next = DigestOptions::default();
    for answer in node.peers.exchange_all(addrs, &digest) {
        record_digest_bytes(node, [&digest, &answer]);
        let diff = merge_digest(node, &answer);
        next.members |= diff.members_differ;
        next.wants_version_sets |= diff.unknown_version_set;
        next.version_sets |= answer.wants_sets;
    }
    next
}

/// Records the encoded size of a sent and a received digest in the metrics.
pub fn record_digest_bytes(node: &Node, digests: [&pb::Digest; 2]) {
    let bytes = digests.map(|d| ivyweir_peer::encoded_len(d) as u64);
    node.metrics.digest_bytes.add(bytes.iter().sum(), &[]);
}

/// Merges a digest, fetches documents that its sender has newer, and pushes the configuration if
/// the sender's is older. Returns how the sender's state differs.
fn merge_digest(node: &Node, digest: &pb::Digest) -> DigestDiff {
    let diff = digest::merge(node, digest);
    let sender = node.member(&digest.r#box);
    if let Some(sender) = sender {
        if diff.has_newer_config {
            fetch_document(node, &sender.peer_addr, CONFIG_DOCUMENT);
        }
        if diff.has_newer_box_list {
            fetch_document(node, &sender.peer_addr, BOX_LIST_DOCUMENT);
        }
        if diff.has_older_config {
            // If the push fails, the next exchange repeats it.
            let _missed = node.peers.push(&sender.peer_addr, config_document(node));
        }
    }
    diff
}

fn fetch_document(node: &Node, addr: &str, kind: u32) {
    let above_generation = match kind {
        CONFIG_DOCUMENT => node.config.generation(),
        _ => node.box_list.get().generation,
    };
    let request = pb::FetchRequest {
        kind,
        above_generation,
    };
    if let Ok(document) = node.peers.fetch(addr, request) {
        apply_document(node, &document);
    }
}

/// Applies a document received from a peer. Returns whether it was newer.
pub fn apply_document(node: &Node, document: &pb::Document) -> bool {
    if document.body.is_empty() {
        return false;
    }
    match document.kind {
        CONFIG_DOCUMENT => {
            let now_ms = node.clock.now_ms();
            let proof_ms = document
                .proof_age_ms
                .map(|age| now_ms.saturating_sub(u64::from(age)));
            apply_config(node, &document.body, proof_ms) == OfferOutcome::Adopted
        }
        BOX_LIST_DOCUMENT => apply_box_list(node, &document.body),
        _ => false,
    }
}

/// Returns the requested document, or an empty one if this box has none above the requested
/// generation.
pub fn document_reply(node: &Node, request: &pb::FetchRequest) -> pb::Document {
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

/// Returns the peer address of a box, unless it has restarted since the given incarnation or is
/// dead.
pub fn incarnation_addr(node: &Node, box_name: &str, incarnation: u64) -> Option<String> {
    node.with_members(|table, timing, now_ms| {
        let record = table.get(box_name)?;
        let same_incarnation = record.incarnation == incarnation;
        let is_alive = table.health(box_name, timing, now_ms) != Health::Dead;
        (same_incarnation && is_alive).then(|| record.peer_addr.to_string())
    })
}
