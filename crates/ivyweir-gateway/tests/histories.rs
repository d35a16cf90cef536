//! What a box passes on of the store's records, and when it sends those that ask away.

use ivyweir_gateway::dialect::Topic;
use ivyweir_gateway::history::{
    Backlog, Histories, RecordChange, Requester, SourceUnavailable, TopicSource,
};
use ivyweir_policy::gateway::revision::Revision;

/// A revision of era 1.
fn rev(number: u64) -> Revision {
    Revision::new(1, number)
}

/// How a box that hears the configuration from the store, and knows nothing of it yet, answers.
fn answer(histories: &Histories, asker: Requester) -> Result<bool, SourceUnavailable> {
    histories.set_source(Topic::Site, TopicSource::Store);
    let behind = histories.changes_since(Topic::Site, Revision::default(), asker)?;
    Ok(behind.is_some())
}

macro_rules! answers {
    ($($name:ident: $store:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let histories = Histories::default();
            for answers in $store {
                histories.set_store_responsive(answers);
            }
            for asker in [Requester::Follower, Requester::Relay] {
                assert_eq!(answer(&histories, asker), $expected);
            }
        }
    )*};
}

const UNTRIED: [bool; 0] = [];

answers! {
    a_box_that_waits_for_the_first_answer_says_so: UNTRIED => Err(SourceUnavailable::Pending);
    a_box_that_the_store_answers_is_a_source: [true] => Ok(false);
    a_box_that_the_store_does_not_answer_sends_away: [false] => Err(SourceUnavailable::Searching);
    a_box_that_lost_the_store_sends_away: [true, false] => Err(SourceUnavailable::Searching);
    a_box_that_regained_the_store_is_a_source: [false, true] => Ok(false);
}

#[test]
fn who_knows_nothing_gets_what_was_last_heard() {
    let histories = Histories::default();
    histories.set_source(Topic::Site, TopicSource::Store);
    histories.reset(Topic::Site, rev(7));
    histories.set_store_responsive(false);
    let behind = histories.changes_since(Topic::Site, Revision::default(), Requester::Relay);
    assert!(matches!(behind, Ok(Some(Backlog::Snapshot(revision))) if revision == rev(7)));
}

/// Changes that a follower is told while `records` upstreams register, so many at a time; none where it is told to get
/// everything.
fn told(records: usize, at_a_time: usize) -> Option<usize> {
    let histories = Histories::default();
    histories.set_source(Topic::Upstreams, TopicSource::Store);
    histories.set_store_responsive(true);
    histories.reset(Topic::Upstreams, rev(1));
    let (mut since, mut told) = (1, 0);
    for known in (at_a_time..=records).step_by(at_a_time) {
        let changes = (0..at_a_time).map(|n| RecordChange::Deleted(format!("u{n}").into()));
        histories.append(Topic::Upstreams, rev(since + 1), changes.collect(), known);
        match histories.changes_since(Topic::Upstreams, rev(since), Requester::Follower) {
            Ok(Some(Backlog::Changes(revision, changes))) => {
                told += changes.len();
                since = revision.number;
            }
            _ => return None,
        }
    }
    Some(told)
}

/// What users of the whole fleet saw: 10 s after its start boxes still copied all upstreams, turned unready, and called the store
/// 3,000 times. Order of events: upstreams register, 500 between two answers of the store; each box of the fleet gets the whole list
/// again each time, from each other, over links that are full of it. Cause: a box kept 128 changes, whatever the fleet.
#[test]
fn upstreams_that_register_are_told_once_each() {
    assert_eq!(told(10_000, 500), Some(10_000));
    assert_eq!(told(1_000, 500), Some(1_000));
    assert_eq!(told(300, 100), Some(300));
}

#[test]
fn who_is_further_behind_than_there_are_records_gets_everything() {
    let histories = Histories::default();
    histories.set_source(Topic::Upstreams, TopicSource::Store);
    histories.set_store_responsive(true);
    histories.reset(Topic::Upstreams, rev(1));
    for revision in 2..=1_002 {
        let gone = vec![RecordChange::Deleted("u".into())];
        histories.append(Topic::Upstreams, rev(revision), gone, 400);
    }
    let behind = |since| histories.changes_since(Topic::Upstreams, rev(since), Requester::Follower);
    assert!(matches!(behind(500), Ok(Some(Backlog::Snapshot(revision))) if revision == rev(1_002)));
    let Ok(Some(Backlog::Changes(revision, changes))) = behind(700) else {
        panic!("the changes are kept");
    };
    assert_eq!(revision, rev(1_002));
    assert_eq!(changes.len(), 302);
}

/// What a box that knows the upstreams up to `since` gets from a box that listed a restored store at revision 2.16 and
/// received one change since.
fn behind_after_restore(since: Revision) -> Option<Backlog> {
    let histories = Histories::default();
    histories.set_source(Topic::Upstreams, TopicSource::Store);
    histories.set_store_responsive(true);
    histories.reset(Topic::Upstreams, Revision::new(2, 16));
    let gone = vec![RecordChange::Deleted("u".into())];
    histories.append(Topic::Upstreams, Revision::new(2, 17), gone, 1);
    let behind = histories.changes_since(Topic::Upstreams, since, Requester::Follower);
    behind.expect("a source")
}

#[test]
fn a_box_from_an_earlier_era_gets_all_records() {
    let behind = behind_after_restore(Revision::new(1, 24));
    assert!(
        matches!(behind, Some(Backlog::Snapshot(revision)) if revision == Revision::new(2, 17))
    );
}

#[test]
fn a_box_from_the_same_era_gets_changes() {
    let behind = behind_after_restore(Revision::new(2, 16));
    assert!(matches!(behind, Some(Backlog::Changes(_, changes)) if changes.len() == 1));
}

#[test]
fn a_box_from_a_later_era_gets_nothing() {
    assert!(behind_after_restore(Revision::new(3, 1)).is_none());
}
