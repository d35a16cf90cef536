//! Gossip digests: encoding of this box's state for its peers, and merging of their digests.

use std::sync::atomic::{AtomicUsize, Ordering};

use ivyweir_peer::{BOX_LIST_DOCUMENT, CONFIG_DOCUMENT, pb};
use ivyweir_policy::Name;
use ivyweir_policy::balance::LoadReport;
use ivyweir_policy::membership::{Heartbeat, Member};
use ivyweir_policy::quality::{CounterKey, CounterOwner, QualityCounts};

use crate::dispatcher::FleetSnapshot;
use crate::load_polling;
use crate::node::Node;
use crate::version_stats::{CounterRow, Verdict};

/// Number of gossip rounds for which a changed load report is part of every digest.
const CHANGED_REPORT_ROUNDS: u64 = 3;
/// An unchanged load report is part of one out of this many digests.
const UNCHANGED_REPORT_PERIOD: usize = 8;
/// Maximum number of quality counter rows per digest.
const MAX_COUNTER_ROWS: usize = 8;

/// Number of digests built so far; selects the part of the state that the next digest contains.
static DIGEST_SEQ: AtomicUsize = AtomicUsize::new(0);

/// How the state of a digest's sender differs from this box's, for the caller to act on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DigestDiff {
    /// The sender has a newer configuration.
    pub has_newer_config: bool,
    /// The sender has a newer box list.
    pub has_newer_box_list: bool,
    /// The sender's member table differs.
    pub members_differ: bool,
    /// The sender has an older configuration.
    pub has_older_config: bool,
    /// A load report refers to a version set that this box does not know.
    pub unknown_version_set: bool,
}

/// The optional parts of a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DigestOptions {
    /// Includes the full member records.
    pub members: bool,
    /// Includes the version sets.
    pub version_sets: bool,
    /// Asks the receiver for its version sets, because this box does not know one of them.
    pub wants_version_sets: bool,
}

/// Builds a digest of this box's state.
pub fn build(node: &Node, options: DigestOptions) -> pb::Digest {
    let now_ms = node.clock.now_ms();
    let current = node.current();
    let generation = current.config.generation;
    let (members, heartbeats, table_digest) = node.with_members(|table, timing, now_ms| {
        let heartbeats = table.heartbeats(timing, now_ms);
        let full = if options.members {
            table.members().map(member_to_pb).collect()
        } else {
            vec![]
        };
        (full, heartbeats, table.digest())
    });
    let digest_seq = DIGEST_SEQ.fetch_add(1, Ordering::Relaxed);
    pb::Digest {
        r#box: node.incarnation.box_name.to_string(),
        incarnation: node.incarnation.number,
        members,
        beat_ids: heartbeats.iter().map(|h| h.member_id).collect(),
        beat_counts: heartbeats.iter().map(|h| h.heartbeat as u32).collect(),
        beat_lags: heartbeats
            .iter()
            .map(|h| generation_lag(generation, h.generation))
            .collect(),
        marks: document_marks(node, generation, current.digest),
        proof_age_ms: node
            .config
            .proof_age_ms(now_ms)
            .map(|age| age.min(u64::from(u32::MAX)) as u32),
        loads: loads_to_send(node, now_ms, digest_seq),
        tallies: node
            .version_stats
            .select_counters(MAX_COUNTER_ROWS, digest_seq)
            .into_iter()
            .map(counter_row_to_pb)
            .collect(),
        verdicts: node
            .version_stats
            .verdicts(now_ms)
            .into_iter()
            .map(verdict_to_pb)
            .collect(),
        table_digest,
        version_sets: if options.version_sets {
            version_sets_to_pb(node)
        } else {
            vec![]
        },
        wants_sets: options.wants_version_sets,
    }
}

fn document_marks(node: &Node, generation: u64, digest: u64) -> Vec<pb::Mark> {
    vec![
        pb::Mark {
            kind: CONFIG_DOCUMENT,
            generation,
            digest,
        },
        pb::Mark {
            kind: BOX_LIST_DOCUMENT,
            generation: node.box_list.get().generation,
            digest: 0,
        },
    ]
}

/// Selects the load reports to send: all that changed recently, and a rotating part of the others.
///
/// An unchanged report carries little information, so it is sent less often.
fn loads_to_send(node: &Node, now_ms: u64, digest_seq: usize) -> Vec<pb::Load> {
    let changed_window_ms = CHANGED_REPORT_ROUNDS * node.gossip_timing().period_ms;
    let max_age_ms = 4 * load_polling::poll_interval(node).as_millis() as u64 + changed_window_ms;
    node.dispatcher.filter_map_upstreams(|u| {
        let report = &u.report;
        let age_ms = now_ms.saturating_sub(report.at_ms);
        let changed_recently = now_ms.saturating_sub(u.report_changed_ms()) <= changed_window_ms;
        let is_due = (u.id() as usize)
            .wrapping_add(digest_seq)
            .is_multiple_of(UNCHANGED_REPORT_PERIOD);
        let is_sent = report.at_ms > 0 && age_ms <= max_age_ms && (changed_recently || is_due);
        is_sent.then(|| pb::Load {
            upstream_id: u.id(),
            running: report.running,
            waiting: report.waiting,
            slots: report.slots,
            age_ms: age_ms as u32,
            versions_id: report.versions.id(),
        })
    })
}

/// Encodes the known version sets, for a peer that asks for them or for the first digest of this
/// box.
fn version_sets_to_pb(node: &Node) -> Vec<pb::VersionSet> {
    let sets = node.version_stats.version_sets();
    sets.iter()
        .map(|set| pb::VersionSet {
            id: set.id(),
            versions: set.names().iter().map(|v| v.to_string()).collect(),
        })
        .collect()
}

/// Merges version sets and load reports. Returns whether a report refers to an unknown version set.
fn merge_loads(node: &Node, digest: &pb::Digest, now_ms: u64) -> bool {
    for set in &digest.version_sets {
        let names = set.versions.iter().map(|v| Name::from(v.as_str()));
        node.version_stats.add_version_set(names.collect());
    }
    let mut unknown_set = false;
    let reports: Vec<(u64, LoadReport)> = digest
        .loads
        .iter()
        .filter_map(|load| {
            let versions = node.version_stats.version_set(load.versions_id);
            unknown_set |= versions.is_none();
            let report = LoadReport {
                running: load.running,
                waiting: load.waiting,
                slots: load.slots,
                versions: versions?,
                at_ms: now_ms.saturating_sub(u64::from(load.age_ms)),
            };
            Some((load.upstream_id, report))
        })
        .collect();
    let snapshot = FleetSnapshot {
        now_ms,
        live_boxes: node.live_boxes(),
    };
    node.dispatcher.apply_load_reports(reports, snapshot);
    unknown_set
}

/// Merges a peer's digest. Returns how the peer's state differs.
pub fn merge(node: &Node, digest: &pb::Digest) -> DigestDiff {
    let now_ms = node.clock.now_ms();
    let mut diff = merge_members(node, digest);
    for mark in &digest.marks {
        match mark.kind {
            CONFIG_DOCUMENT => {
                let local_generation = merge_config_mark(node, digest, mark, now_ms);
                diff.has_newer_config = mark.generation > local_generation;
                diff.has_older_config = mark.generation < local_generation;
            }
            BOX_LIST_DOCUMENT => {
                diff.has_newer_box_list = mark.generation > node.box_list.get().generation;
            }
            _ => {}
        }
    }
    diff.unknown_version_set = merge_loads(node, digest, now_ms);
    node.version_stats
        .merge_counters(digest.tallies.iter().map(counter_row_from_pb));
    for verdict in &digest.verdicts {
        node.version_stats
            .merge_verdict(verdict_from_pb(verdict), now_ms);
    }
    diff
}

fn merge_members(node: &Node, digest: &pb::Digest) -> DigestDiff {
    node.with_members(|table, _, now_ms| {
        for member in &digest.members {
            table.merge(member_from_pb(member), now_ms);
        }
        for heartbeat in heartbeats_from_pb(digest) {
            table.merge_heartbeat(heartbeat, now_ms);
        }
        DigestDiff {
            members_differ: table.digest() != digest.table_digest,
            ..DigestDiff::default()
        }
    })
}

/// Records the sender's proof if it applies to this box's configuration. Returns the generation of
/// this box's configuration.
fn merge_config_mark(node: &Node, digest: &pb::Digest, mark: &pb::Mark, now_ms: u64) -> u64 {
    let current = node.current();
    let local_generation = current.config.generation;
    assert!(
        mark.generation != local_generation
            || local_generation == 0
            || mark.digest == current.digest,
        "invariant: one generation has one configuration (box {}, generation {local_generation})",
        digest.r#box,
    );
    let proof_ms = digest
        .proof_age_ms
        .map(|age| now_ms.saturating_sub(u64::from(age)));
    node.config.record_proof(mark.generation, proof_ms);
    local_generation
}

fn member_to_pb(record: &Member) -> pb::Member {
    let (successor, successor_incarnation) = record.successor.clone().unwrap_or(("".into(), 0));
    pb::Member {
        r#box: record.name.to_string(),
        incarnation: record.incarnation,
        heartbeat: record.heartbeat,
        leaving: record.leaving,
        hall: record.hall.to_string(),
        peer_addr: record.peer_addr.to_string(),
        successor: successor.to_string(),
        successor_incarnation,
        generation: record.generation,
    }
}

fn member_from_pb(member: &pb::Member) -> Member {
    let successor: Name = member.successor.as_str().into();
    Member {
        name: member.r#box.as_str().into(),
        incarnation: member.incarnation,
        heartbeat: member.heartbeat,
        leaving: member.leaving,
        hall: member.hall.as_str().into(),
        peer_addr: member.peer_addr.as_str().into(),
        successor: (!successor.is_empty()).then_some((successor, member.successor_incarnation)),
        generation: member.generation,
    }
}

fn generation_lag(generation: u64, member_generation: u64) -> u32 {
    generation
        .saturating_sub(member_generation)
        .min(u64::from(u32::MAX)) as u32
}

/// Decodes the heartbeats of a digest. Returns none if the lists differ in length.
fn heartbeats_from_pb(digest: &pb::Digest) -> Vec<Heartbeat> {
    let count = digest.beat_ids.len();
    if digest.beat_counts.len() != count || digest.beat_lags.len() != count {
        return Vec::new();
    }
    let marks = digest.marks.iter();
    let generation = marks
        .filter(|m| m.kind == CONFIG_DOCUMENT)
        .map(|m| m.generation)
        .max();
    let generation = generation.unwrap_or(0);
    (0..count)
        .map(|i| Heartbeat {
            member_id: digest.beat_ids[i],
            heartbeat: u64::from(digest.beat_counts[i]),
            generation: generation.saturating_sub(u64::from(digest.beat_lags[i])),
        })
        .collect()
}

fn counter_row_to_pb(row: CounterRow) -> pb::Tally {
    pb::Tally {
        r#box: row.owner.box_name.to_string(),
        incarnation: row.owner.incarnation,
        version: row.key.version.to_string(),
        class: row.key.class.to_string(),
        rated: row.counts.rated,
        score_milli: row.counts.score_milli,
        score_square_milli: row.counts.score_square_milli,
        done: row.counts.done,
        failed: row.counts.failed,
        window: row.key.window,
        bucket: u32::from(row.key.bucket),
    }
}

fn counter_row_from_pb(tally: &pb::Tally) -> CounterRow {
    CounterRow {
        key: CounterKey {
            version: tally.version.as_str().into(),
            class: tally.class.as_str().into(),
            bucket: tally.bucket.min(u32::from(u8::MAX)) as u8,
            window: tally.window,
        },
        owner: CounterOwner {
            box_name: tally.r#box.as_str().into(),
            incarnation: tally.incarnation,
        },
        counts: QualityCounts {
            rated: tally.rated,
            score_milli: tally.score_milli,
            score_square_milli: tally.score_square_milli,
            done: tally.done,
            failed: tally.failed,
        },
    }
}

fn verdict_to_pb(verdict: Verdict) -> pb::Verdict {
    pb::Verdict {
        r#box: verdict.reporter.box_name.to_string(),
        incarnation: verdict.reporter.incarnation,
        version: verdict.version.to_string(),
        bad: verdict.bad,
        seq: verdict.seq,
    }
}

fn verdict_from_pb(verdict: &pb::Verdict) -> Verdict {
    Verdict {
        reporter: CounterOwner {
            box_name: verdict.r#box.as_str().into(),
            incarnation: verdict.incarnation,
        },
        version: verdict.version.as_str().into(),
        bad: verdict.bad,
        seq: verdict.seq,
    }
}
