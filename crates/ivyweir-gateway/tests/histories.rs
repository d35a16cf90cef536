//! Changes to the store's records that a box passes on to other boxes, and the conditions under which
//! it refuses to serve them.

use std::sync::Arc;

use ivyweir_gateway::dialect::{StoreRecord, Topic};
use ivyweir_gateway::history::{
    Backlog, Histories, RecordChange, Requester, SourceUnavailable, TopicSource,
};
use ivyweir_policy::gateway::revision::Revision;
use ivyweir_policy::gateway::site::{Route, RouteKind, SiteConfig};

/// A revision of era 1.
fn rev(number: u64) -> Revision {
    Revision::new(1, number)
}

/// Requests the configuration from a box that receives it from the store and has no data yet; returns
/// whether there are changes.
fn request_changes(histories: &Histories, requester: Requester) -> Result<bool, SourceUnavailable> {
    histories.set_source(Topic::Site, TopicSource::Store);
    let backlog = histories.changes_since(Topic::Site, Revision::default(), requester)?;
    Ok(backlog.is_some())
}

macro_rules! source_status_tests {
    ($($name:ident: $store:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let histories = Histories::default();
            for is_responsive in $store {
                histories.set_store_responsive(is_responsive);
            }
            for requester in [Requester::Follower, Requester::Relay] {
                assert_eq!(request_changes(&histories, requester), $expected);
            }
        }
    )*};
}

/// No request to the store has been answered or has failed yet.
const UNTRIED: [bool; 0] = [];

source_status_tests! {
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
    let backlog = histories.changes_since(Topic::Site, Revision::default(), Requester::Relay);
    assert!(matches!(backlog, Ok(Some(Backlog::Snapshot(revision))) if revision == rev(7)));
}

/// Returns the number of changes that a follower receives while `records` upstreams register in batches;
/// `None` if it has to fetch all records.
fn delivered_changes(records: usize, batch_size: usize) -> Option<usize> {
    let histories = Histories::default();
    histories.set_source(Topic::Upstreams, TopicSource::Store);
    histories.set_store_responsive(true);
    histories.reset(Topic::Upstreams, rev(1));
    let (mut since, mut delivered) = (1, 0);
    for known in (batch_size..=records).step_by(batch_size) {
        let changes = (0..batch_size).map(|n| RecordChange::Deleted(format!("u{n}").into()));
        histories.append(Topic::Upstreams, rev(since + 1), changes.collect(), known);
        match histories.changes_since(Topic::Upstreams, rev(since), Requester::Follower) {
            Ok(Some(Backlog::Changes(revision, changes))) => {
                delivered += changes.len();
                since = revision.number;
            }
            _ => return None,
        }
    }
    Some(delivered)
}

/// Guards against repeated copies of all upstreams while the fleet starts. A box kept 128 changes,
/// whatever the size of the fleet, while 500 upstreams registered between two responses of the store. Each
/// box therefore fetched the whole list from other boxes every time, which saturated the links: 10 s after
/// the start of the fleet, boxes were still copying, became unready, and had called the store 3,000 times.
#[test]
fn upstreams_that_register_are_told_once_each() {
    assert_eq!(delivered_changes(10_000, 500), Some(10_000));
    assert_eq!(delivered_changes(1_000, 500), Some(1_000));
    assert_eq!(delivered_changes(300, 100), Some(300));
}

#[test]
fn who_is_further_behind_than_there_are_records_gets_everything() {
    let histories = Histories::default();
    histories.set_source(Topic::Upstreams, TopicSource::Store);
    histories.set_store_responsive(true);
    histories.reset(Topic::Upstreams, rev(1));
    for revision in 2..=1_002 {
        let deletions = vec![RecordChange::Deleted("u".into())];
        histories.append(Topic::Upstreams, rev(revision), deletions, 400);
    }
    let backlog =
        |since| histories.changes_since(Topic::Upstreams, rev(since), Requester::Follower);
    assert!(
        matches!(backlog(500), Ok(Some(Backlog::Snapshot(revision))) if revision == rev(1_002))
    );
    let Ok(Some(Backlog::Changes(revision, changes))) = backlog(700) else {
        panic!("the changes are kept");
    };
    assert_eq!(revision, rev(1_002));
    assert_eq!(changes.len(), 302);
}

/// Returns what a box that has the upstreams up to `since` receives from a box that listed a restored
/// store at revision 2.16 and has received one change since.
fn backlog_after_restore(since: Revision) -> Option<Backlog> {
    let histories = Histories::default();
    histories.set_source(Topic::Upstreams, TopicSource::Store);
    histories.set_store_responsive(true);
    histories.reset(Topic::Upstreams, Revision::new(2, 16));
    let deletions = vec![RecordChange::Deleted("u".into())];
    histories.append(Topic::Upstreams, Revision::new(2, 17), deletions, 1);
    let backlog = histories.changes_since(Topic::Upstreams, since, Requester::Follower);
    backlog.expect("a source")
}

#[test]
fn a_box_from_an_earlier_era_gets_all_records() {
    let backlog = backlog_after_restore(Revision::new(1, 24));
    assert!(
        matches!(backlog, Some(Backlog::Snapshot(revision)) if revision == Revision::new(2, 17))
    );
}

#[test]
fn a_box_from_the_same_era_gets_changes() {
    let backlog = backlog_after_restore(Revision::new(2, 16));
    assert!(matches!(backlog, Some(Backlog::Changes(_, changes)) if changes.len() == 1));
}

#[test]
fn a_box_from_a_later_era_gets_nothing() {
    assert!(backlog_after_restore(Revision::new(3, 1)).is_none());
}

/// Guards against memory that grows with the number of changes of the configuration, each of which holds all routes.
#[test]
fn only_the_newest_configuration_is_kept() {
    let route = Arc::new(Route {
        name: "route".into(),
        host: "host".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        latency_aim_ms: 100,
        priority: 0,
        models: Vec::new(),
        pools: Vec::new(),
        max_attempts: 1,
        anonymous: true,
    });
    let histories = Histories::default();
    histories.set_source(Topic::Site, TopicSource::Store);
    histories.set_store_responsive(true);
    histories.reset(Topic::Site, rev(1));
    for number in 2..=1_000 {
        let site = SiteConfig {
            version: number,
            routes: vec![route.clone()],
            ..SiteConfig::default()
        };
        let put = RecordChange::Put(StoreRecord::Site(Box::new(site)));
        histories.append(Topic::Site, rev(number), vec![put], 3_000);
    }
    assert_eq!(Arc::strong_count(&route), 2, "one configuration is kept");
    for since in [1, 500, 999] {
        let backlog = histories.changes_since(Topic::Site, rev(since), Requester::Follower);
        let Ok(Some(Backlog::Changes(revision, changes))) = backlog else {
            panic!("a follower at revision {since} needs no more than the changes");
        };
        assert_eq!(revision, rev(1_000));
        let [RecordChange::Put(StoreRecord::Site(site))] = &changes[..] else {
            panic!("{} changes", changes.len());
        };
        assert_eq!(site.version, 1_000);
    }
}

/// Guards against a follower that misses the newest configuration because its object was deleted afterwards.
#[test]
fn a_configuration_is_kept_behind_its_deletion() {
    let histories = Histories::default();
    histories.set_source(Topic::Site, TopicSource::Store);
    histories.set_store_responsive(true);
    histories.reset(Topic::Site, rev(1));
    let put = RecordChange::Put(StoreRecord::Site(Box::default()));
    histories.append(Topic::Site, rev(2), vec![put], 1);
    let deletion = RecordChange::Deleted("main".into());
    histories.append(Topic::Site, rev(3), vec![deletion], 1);
    let backlog = histories.changes_since(Topic::Site, rev(1), Requester::Follower);
    assert!(matches!(backlog, Ok(Some(Backlog::Changes(_, changes))) if changes.len() == 2));
}
