//! Digests: what this box tells its peers, and what it takes in of theirs.

use std::sync::atomic::{AtomicUsize, Ordering};

use ivyweir_peer::{BOX_LIST_DOCUMENT, CONFIG_DOCUMENT, pb};
use ivyweir_policy::Name;
use ivyweir_policy::balance::LoadReport;
use ivyweir_policy::membership::{Heartbeat, Member};
use ivyweir_policy::quality::{CounterKey, CounterOwner, QualityCounts};

use crate::gate::Moment;
use crate::learn::{Tally, Verdict};
use crate::loads;
use crate::node::Node;

/// Rounds for which a report that changed is told in every digest.
const NEWS_ROUNDS: u64 = 3;
/// Digests in which each unchanged report is told once.
const TURNS: usize = 8;
/// Rows of quality counters per digest.
const TALLIES: usize = 8;

static TURN: AtomicUsize = AtomicUsize::new(0);

/// What a digest showed of its sender, for the caller to act on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lacking {
    /// The sender has a newer configuration.
    pub config: bool,
    /// The sender has a newer box list.
    pub box_list: bool,
    /// The sender knows other members than this box.
    pub members: bool,
    /// The sender has an older configuration.
    pub is_behind: bool,
    /// The sender tells of loads with a version set that is not known here.
    pub sets: bool,
}

/// What a digest tells besides what it always does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tell {
    /// The full member records.
    pub members: bool,
    /// The version sets.
    pub sets: bool,
    /// That a version set is not known here.
    pub wants_sets: bool,
}

/// This box's digest.
pub fn build(node: &Node, tell: Tell) -> pb::Digest {
    let now_ms = node.clock.now_ms();
    let current = node.current();
    let generation = current.config.generation;
    let (members, beats, table_digest) = node.with_members(|table, timing, now_ms| {
        let beats = table.heartbeats(timing, now_ms);
        let full = if tell.members {
            table.members().map(member_out).collect()
        } else {
            vec![]
        };
        (full, beats, table.digest())
    });
    let turn = TURN.fetch_add(1, Ordering::Relaxed);
    pb::Digest {
        r#box: node.me.box_name.to_string(),
        incarnation: node.me.number,
        members,
        beat_ids: beats.iter().map(|b| b.member_id).collect(),
        beat_counts: beats.iter().map(|b| b.heartbeat as u32).collect(),
        beat_lags: beats
            .iter()
            .map(|b| lag(generation, b.generation))
            .collect(),
        marks: marks(node, generation, current.digest),
        proof_age_ms: node
            .config
            .proof_age_ms(now_ms)
            .map(|age| age.min(u64::from(u32::MAX)) as u32),
        loads: loads(node, now_ms, turn),
        tallies: node
            .learning
            .tallies(TALLIES, turn)
            .into_iter()
            .map(tally_out)
            .collect(),
        verdicts: node
            .learning
            .verdicts(now_ms)
            .into_iter()
            .map(verdict_out)
            .collect(),
        table_digest,
        version_sets: if tell.sets {
            version_sets(node)
        } else {
            vec![]
        },
        wants_sets: tell.wants_sets,
    }
}

fn marks(node: &Node, generation: u64, digest: u64) -> Vec<pb::Mark> {
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

/// Load reports to tell: those that changed lately, and of the others a part that moves.
///
/// A report that says what the one before said is of little use, so it is told less often.
fn loads(node: &Node, now_ms: u64, turn: usize) -> Vec<pb::Load> {
    let news_ms = NEWS_ROUNDS * node.timing().period_ms;
    let max_age_ms = 4 * loads::interval(node).as_millis() as u64 + news_ms;
    node.gate.read_upstreams(|u| {
        let report = &u.report;
        let age_ms = now_ms.saturating_sub(report.at_ms);
        let is_news = now_ms.saturating_sub(u.report_changed_ms()) <= news_ms;
        let in_turn = (u.id() as usize).wrapping_add(turn).is_multiple_of(TURNS);
        let told = report.at_ms > 0 && age_ms <= max_age_ms && (is_news || in_turn);
        told.then(|| pb::Load {
            upstream_id: u.id(),
            running: report.running,
            waiting: report.waiting,
            slots: report.slots,
            age_ms: age_ms as u32,
            versions_id: report.versions.id(),
        })
    })
}

/// The version sets that upstreams have, told to who asks for them or knows no members yet.
fn version_sets(node: &Node) -> Vec<pb::VersionSet> {
    let sets = node.learning.version_sets();
    sets.iter()
        .map(|set| pb::VersionSet {
            id: set.id(),
            versions: set.names().iter().map(|v| v.to_string()).collect(),
        })
        .collect()
}

/// Reads told loads; whether a set among them is not known here.
fn merge_loads(node: &Node, digest: &pb::Digest, now_ms: u64) -> bool {
    for set in &digest.version_sets {
        let names = set.versions.iter().map(|v| Name::from(v.as_str()));
        node.learning.learn_set(names.collect());
    }
    let mut unknown = false;
    let reports: Vec<(u64, LoadReport)> = digest
        .loads
        .iter()
        .filter_map(|load| {
            let versions = node.learning.version_set(load.versions_id);
            unknown |= versions.is_none();
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
    let moment = Moment {
        now_ms,
        live_boxes: node.live_boxes(),
    };
    node.gate.report(reports, moment);
    unknown
}

/// Takes in a peer's digest.
pub fn merge(node: &Node, digest: &pb::Digest) -> Lacking {
    let now_ms = node.clock.now_ms();
    let mut lacking = merge_members(node, digest);
    for mark in &digest.marks {
        match mark.kind {
            CONFIG_DOCUMENT => {
                let held = merge_mark(node, digest, mark, now_ms);
                lacking.config = mark.generation > held;
                lacking.is_behind = mark.generation < held;
            }
            BOX_LIST_DOCUMENT => {
                lacking.box_list = mark.generation > node.box_list.get().generation;
            }
            _ => {}
        }
    }
    lacking.sets = merge_loads(node, digest, now_ms);
    node.learning
        .merge_tallies(digest.tallies.iter().map(tally_in));
    for verdict in &digest.verdicts {
        node.learning.merge_verdict(verdict_in(verdict), now_ms);
    }
    lacking
}

fn merge_members(node: &Node, digest: &pb::Digest) -> Lacking {
    node.with_members(|table, _, now_ms| {
        for member in &digest.members {
            table.merge(member_in(member), now_ms);
        }
        for beat in beats_in(digest) {
            table.merge_heartbeat(beat, now_ms);
        }
        Lacking {
            members: table.digest() != digest.table_digest,
            ..Lacking::default()
        }
    })
}

/// Uses the sender's proof if it holds here too. Returns the generation held here.
fn merge_mark(node: &Node, digest: &pb::Digest, mark: &pb::Mark, now_ms: u64) -> u64 {
    let current = node.current();
    let held = current.config.generation;
    assert!(
        mark.generation != held || held == 0 || mark.digest == current.digest,
        "invariant: one generation has one configuration (box {}, generation {held})",
        digest.r#box,
    );
    let proof_ms = digest
        .proof_age_ms
        .map(|age| now_ms.saturating_sub(u64::from(age)));
    node.config.record_proof(mark.generation, proof_ms);
    held
}

fn member_out(record: &Member) -> pb::Member {
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

fn member_in(member: &pb::Member) -> Member {
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

fn lag(generation: u64, behind: u64) -> u32 {
    generation.saturating_sub(behind).min(u64::from(u32::MAX)) as u32
}

/// The heartbeats of a digest; a digest whose lists do not fit together has none.
fn beats_in(digest: &pb::Digest) -> Vec<Heartbeat> {
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
        .map(|at| Heartbeat {
            member_id: digest.beat_ids[at],
            heartbeat: u64::from(digest.beat_counts[at]),
            generation: generation.saturating_sub(u64::from(digest.beat_lags[at])),
        })
        .collect()
}

fn tally_out(tally: Tally) -> pb::Tally {
    pb::Tally {
        r#box: tally.by.box_name.to_string(),
        incarnation: tally.by.incarnation,
        version: tally.subject.version.to_string(),
        class: tally.subject.class.to_string(),
        rated: tally.count.rated,
        score_milli: tally.count.score_milli,
        score_square_milli: tally.count.score_square_milli,
        done: tally.count.done,
        failed: tally.count.failed,
        window: tally.subject.window,
        bucket: u32::from(tally.subject.bucket),
    }
}

fn tally_in(tally: &pb::Tally) -> Tally {
    Tally {
        subject: CounterKey {
            version: tally.version.as_str().into(),
            class: tally.class.as_str().into(),
            bucket: tally.bucket.min(u32::from(u8::MAX)) as u8,
            window: tally.window,
        },
        by: CounterOwner {
            box_name: tally.r#box.as_str().into(),
            incarnation: tally.incarnation,
        },
        count: QualityCounts {
            rated: tally.rated,
            score_milli: tally.score_milli,
            score_square_milli: tally.score_square_milli,
            done: tally.done,
            failed: tally.failed,
        },
    }
}

fn verdict_out(verdict: Verdict) -> pb::Verdict {
    pb::Verdict {
        r#box: verdict.by.box_name.to_string(),
        incarnation: verdict.by.incarnation,
        version: verdict.version.to_string(),
        bad: verdict.bad,
        seq: verdict.seq,
    }
}

fn verdict_in(verdict: &pb::Verdict) -> Verdict {
    Verdict {
        by: CounterOwner {
            box_name: verdict.r#box.as_str().into(),
            incarnation: verdict.incarnation,
        },
        version: verdict.version.as_str().into(),
        bad: verdict.bad,
        seq: verdict.seq,
    }
}
