//! The upstreams of a new version that serve its share: as few as bear the old version's load.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::placement::PlacementRequest;
use ivyweir_policy::gateway::rollout::{RolloutState, Side};
use ivyweir_policy::gateway::upstreams::{RolloutTarget, Scope, SendRules, Upstreams};
use ivyweir_policy::hash::mix;

/// Upstreams of two versions, 20 of the old and 20 of the new one.
fn two_versions() -> Upstreams {
    let mut upstreams = Upstreams::default();
    for (version, count) in [("v1", 20), ("v2", 20)] {
        for n in 0..count {
            let port = if version == "v1" { 1_000 } else { 2_000 } + n;
            let record = UpstreamRecord {
                id: format!("{version}-{n}").into(),
                pool: "writers".into(),
                addr: SocketAddr::from(([127, 0, 0, 1], port)),
                hall: "h".into(),
                version: version.into(),
                slots: 8,
                is_leaving: false,
                cold_remaining_ms: 0,
                is_spot: false,
                registered_as: None,
            };
            upstreams.fleet().put(record, 0);
        }
    }
    upstreams.set_default_version(&"writers".into(), &"v1".into());
    upstreams
}

/// Upstreams that requests of the new side reach while the version has this share, `tried` having been tried.
fn reached(upstreams: &mut Upstreams, share: f64, tried: &[Name]) -> BTreeSet<Name> {
    let target = RolloutTarget {
        version: "v2".into(),
        state: RolloutState::Running { elapsed_ms: 0 },
        share,
    };
    let scope = Scope {
        pool: &"writers".into(),
        side: Some(Side::New),
        tried,
    };
    let choose = |seed: u64| {
        let ask = PlacementRequest {
            prefix: None,
            engine: None,
            hall: "h",
            far_engine_ms: 0.0,
            avoid_failing: true,
            seed: mix(seed, 3),
            isolation_hash: None,
        };
        let choice = upstreams.choose(&scope, &ask, Some(&target), &SendRules::default(), 0);
        choice.expect("an upstream").upstream.id.clone()
    };
    (0..2_000).map(choose).collect()
}

/// What operators saw: a version that fails under load only was given all work, and could not be taken back. Order of
/// events: its small share was spread over as many upstreams as the old version has, each of which had an eighth of the old
/// one's load; nothing failed; all work moved, and then everything did. Evidence: at the move 0 of 273 answers had failed.
macro_rules! loaded {
    ($($name:ident: share $share:expr => upstreams $upstreams:expr;)*) => {$(
        #[test]
        fn $name() {
            let few = reached(&mut two_versions(), $share, &[]);
            assert_eq!(few.len(), $upstreams);
            assert!(few.iter().all(|id| id.starts_with("v2")));
        }
    )*};
}

loaded! {
    a_small_share_goes_to_four_at_least: share 0.02 => upstreams 4;
    a_fifth_loads_five_as_the_old_ones: share 0.2 => upstreams 5;
    a_third_loads_ten: share 0.333 => upstreams 10;
    half_of_the_work_goes_to_all: share 0.5 => upstreams 20;
    all_of_it_does_too: share 1.0 => upstreams 20;
}

#[test]
fn in_place_of_upstreams_that_were_tried_the_next_ones_are_taken() {
    let mut upstreams = two_versions();
    let first = reached(&mut upstreams, 0.2, &[]);
    let tried: Vec<Name> = first.iter().cloned().collect();
    let next = reached(&mut upstreams, 0.2, &tried);
    assert_eq!(next.len(), 5);
    assert!(next.is_disjoint(&first));
}
