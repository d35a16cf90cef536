//! Checks of the paths to upstreams.

use std::collections::HashMap;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::reachability::{
    CheckedPath, PathChange, PeerProbes, ProbeResult, Reachability, probe_extension_ms,
};

use ProbeResult::{Broken, Reached, Refused, Silent};

fn name(number: usize) -> Name {
    format!("upstream-{number}").into()
}

fn others(results: &[(usize, ProbeResult)], has_path: bool) -> PeerProbes {
    PeerProbes {
        has_path,
        results: results
            .iter()
            .map(|(n, result)| (name(*n), *result))
            .collect(),
        took_ms: 0,
    }
}

/// Checks upstreams by their numbers: results of this box, and of another one with a path.
fn check(results: &[(usize, ProbeResult, ProbeResult)]) -> Vec<(Name, CheckedPath)> {
    let checked = |(n, own, other): &(usize, ProbeResult, ProbeResult)| {
        let path = CheckedPath::new(&name(*n), *own, &[others(&[(*n, *other)], true)]);
        (name(*n), path)
    };
    results.iter().map(checked).collect()
}

macro_rules! endings {
    ($($name:ident: $own:expr, $others:expr, has_path $has_path:expr => $is_terminated:expr;)*) => {$(
        #[test]
        fn $name() {
            let checked = CheckedPath::new(&name(0), $own, &$others);
            assert_eq!(checked.is_terminated($has_path), $is_terminated);
        }
    )*};
}

endings! {
    an_upstream_that_refuses_all_has_terminated:
        Refused, [others(&[(0, Refused)], true)], has_path true => true;
    an_upstream_that_another_box_reaches_has_not_terminated:
        Refused, [others(&[(0, Refused)], true), others(&[(0, Reached)], true)], has_path true => false;
    refusals_of_a_box_without_paths_show_nothing:
        Refused, [others(&[(0, Refused)], false)], has_path false => false;
    a_box_with_paths_decides_alone_where_no_other_can:
        Refused, [others(&[(0, Refused)], false)], has_path true => true;
    a_broken_connection_is_no_termination:
        Broken, [others(&[(0, Refused)], true)], has_path true => false;
    a_silent_upstream_has_not_terminated:
        Silent, [others(&[(0, Silent)], true)], has_path true => false;
}

#[test]
fn a_box_that_reaches_nothing_that_others_reach_is_cut_off() {
    let mut paths = Reachability::default();
    paths.begin_request(&name(0), 0);
    paths.begin_request(&name(7), 0);
    assert!(paths.suspect(&name(0)));
    assert_eq!(paths.begin_check(10), Some(vec![name(0)]));
    let results = check(&[(0, Silent, Reached), (1, Silent, Reached)]);
    assert_eq!(paths.apply_check(&results, false, 160), PathChange::CutOff);
    paths.end_check();
    assert!(paths.is_cut_off() && paths.is_hanging(&name(0)) && paths.is_hanging(&name(7)));
}

#[test]
fn a_box_is_not_cut_off_while_other_upstreams_send_data() {
    let mut paths = Reachability::default();
    paths.begin_request(&name(0), 0);
    paths.begin_request(&name(5), 0);
    paths.suspect(&name(0));
    paths.begin_check(10);
    paths.record_contact(&name(5), 50);
    let results = check(&[(0, Silent, Reached), (1, Silent, Reached)]);
    assert_eq!(paths.apply_check(&results, false, 160), PathChange::None);
    assert!(paths.wants_wide_check(&results, 160));
    paths.end_check();
    assert!(!paths.is_cut_off() && paths.is_hanging(&name(0)) && !paths.is_hanging(&name(5)));
    assert_eq!(paths.avoided().len(), 2);
}

#[test]
fn an_upstream_that_sends_data_during_a_check_does_not_count_as_hanging() {
    let mut paths = Reachability::default();
    for upstream in 0..2 {
        paths.begin_request(&name(upstream), 0);
        paths.suspect(&name(upstream));
    }
    paths.begin_check(700);
    paths.record_contact(&name(0), 700);
    let results = check(&[(0, Silent, Reached), (1, Silent, Reached)]);
    assert_eq!(paths.apply_check(&results, false, 860), PathChange::None);
    paths.end_check();
    assert!(!paths.is_hanging(&name(0)) && paths.is_hanging(&name(1)));
    assert_eq!(paths.avoided(), [name(1)]);
}

#[test]
fn upstreams_that_nobody_reaches_leave_the_paths_alone() {
    let mut paths = Reachability::default();
    paths.begin_request(&name(0), 0);
    paths.suspect(&name(0));
    paths.begin_check(10);
    let results = check(&[(0, Silent, Silent), (1, Refused, Refused)]);
    assert_eq!(paths.apply_check(&results, true, 160), PathChange::None);
    paths.end_check();
    assert!(!paths.has_trouble() && !paths.is_hanging(&name(0)));
}

#[test]
fn requests_on_open_connections_go_on_where_new_ones_are_refused() {
    let mut paths = Reachability::default();
    paths.begin_request(&name(0), 0);
    paths.suspect(&name(1));
    paths.begin_check(10);
    let results = check(&[(1, Refused, Reached), (2, Broken, Reached)]);
    assert_eq!(paths.apply_check(&results, false, 20), PathChange::CutOff);
    paths.end_check();
    assert!(!paths.is_hanging(&name(0)));
    // Data on an old connection does not show that new ones can be opened.
    assert_eq!(paths.record_contact(&name(0), 30), PathChange::None);
    assert!(paths.is_cut_off());
}

#[test]
fn a_response_to_a_probe_restores_the_paths() {
    let mut paths = Reachability::default();
    paths.suspect(&name(0));
    paths.begin_check(10);
    let results = check(&[(0, Refused, Reached), (1, Refused, Reached)]);
    paths.apply_check(&results, false, 20);
    paths.end_check();
    assert_eq!(paths.due_probes(8, 100), Vec::<Name>::new());
    assert_eq!(paths.due_probes(8, 220).len(), 2);
    assert_eq!(paths.record_reached(&name(0), 230), PathChange::Restored);
    assert!(!paths.is_cut_off());
    // The other one is probed at once.
    assert_eq!(paths.due_probes(8, 231), [name(1)]);
    paths.record_reached(&name(1), 232);
    assert!(!paths.has_trouble());
}

#[test]
fn a_box_that_reaches_one_upstream_again_does_not_send_to_others_before_they_are_checked() {
    let mut paths = Reachability::default();
    paths.suspect(&name(0));
    paths.begin_check(10);
    let lost = [(0, Silent, Reached), (1, Silent, Reached)];
    paths.apply_check(&check(&lost), false, 160);
    paths.end_check();
    assert_eq!(paths.record_reached(&name(2), 200), PathChange::Restored);
    assert!(paths.may_be_cut_off(200) && paths.is_checking());
    // Data on one connection does not show which other paths work.
    paths.record_contact(&name(2), 210);
    assert!(paths.may_be_cut_off(210) && paths.is_checking());
    let found = [
        (0, Silent, Reached),
        (1, Silent, Reached),
        (2, Reached, Reached),
        (3, Silent, Reached),
    ];
    assert_eq!(
        paths.apply_check(&check(&found), true, 350),
        PathChange::None
    );
    // Most paths fail, so others are worth a check.
    assert!(paths.wants_further_check(&check(&found)) && paths.may_be_cut_off(350));
    paths.end_wide_check();
    assert!(!paths.may_be_cut_off(350) && !paths.is_checking());
    assert_eq!(paths.avoided().len(), 3);
}

#[test]
fn silence_is_checked_only_where_requests_wait_and_not_all_the_time() {
    let mut paths = Reachability::default();
    assert!(!paths.suspect_silent(10_000));
    paths.begin_request(&name(0), 10_000);
    assert!(!paths.suspect_silent(10_150));
    assert!(paths.suspect_silent(10_200));
    paths.begin_check(10_200);
    paths.apply_check(&check(&[(0, Reached, Reached)]), false, 10_210);
    paths.end_check();
    assert!(!paths.has_trouble());
    assert!(!paths.suspect_silent(10_900));
    assert!(paths.suspect_silent(11_200));
}

#[test]
fn one_silent_upstream_is_checked_later_than_all() {
    let mut paths = Reachability::default();
    paths.begin_request(&name(0), 0);
    paths.begin_request(&name(1), 0);
    for now_ms in (0..600).step_by(20) {
        paths.record_contact(&name(1), now_ms);
        assert!(!paths.suspect_silent(now_ms));
    }
    paths.record_contact(&name(1), 600);
    assert!(paths.suspect_silent(600));
    assert_eq!(paths.begin_check(600), Some(vec![name(0)]));
}

#[test]
fn what_is_not_known_any_more_is_forgotten() {
    let mut paths = Reachability::default();
    paths.suspect(&name(0));
    paths.begin_check(0);
    paths.apply_check(&check(&[(0, Refused, Reached)]), true, 10);
    paths.end_check();
    assert!(paths.has_trouble());
    paths.sweep(|_| false);
    assert!(paths.avoided().is_empty());
    let known: HashMap<Name, ()> = HashMap::new();
    paths.sweep(|id| known.contains_key(id));
}

/// Results of this box alone: no other box with a path responded.
fn check_alone(results: &[(usize, ProbeResult)]) -> Vec<(Name, CheckedPath)> {
    let checked =
        |(n, own): &(usize, ProbeResult)| (name(*n), CheckedPath::new(&name(*n), *own, &[]));
    results.iter().map(checked).collect()
}

macro_rules! unresolved {
    ($($name:ident: suspects $suspects:expr, results $results:expr => $is_unresolved:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut paths = Reachability::default();
            for suspect in $suspects {
                paths.suspect(&name(suspect));
            }
            paths.begin_check(1_000);
            assert_eq!(paths.apply_check(&$results, false, 1_020), PathChange::None);
            paths.end_check();
            assert_eq!(paths.is_unresolved(), $is_unresolved);
            assert_eq!(paths.may_be_cut_off(1_020), $is_unresolved);
            // The check is repeated if it was not resolved.
            assert_eq!(paths.begin_check(1_045).is_some(), $is_unresolved);
        }
    )*};
}

unresolved! {
    a_check_that_reaches_nothing_and_that_no_other_box_explains_leaves_all_paths_in_doubt:
        suspects [0], results check_alone(&[(0, Broken), (1, Broken), (2, Silent)]) => true;
    upstreams_that_a_request_ends_leave_others_that_are_reached:
        suspects [0, 1], results check_alone(&[(0, Broken), (1, Refused), (2, Reached)]) => false;
    a_check_of_suspected_upstreams_alone_shows_nothing_of_the_others:
        suspects [0, 1], results check_alone(&[(0, Broken), (1, Refused)]) => false;
    what_another_box_tells_is_no_doubt:
        suspects [0], results check(&[(0, Broken, Refused), (1, Broken, Refused)]) => false;
}

#[test]
fn data_from_any_upstream_ends_the_doubt() {
    for is_probe in [true, false] {
        let mut paths = Reachability::default();
        paths.suspect(&name(0));
        paths.begin_check(1_000);
        paths.apply_check(&check_alone(&[(0, Broken), (1, Broken)]), false, 1_020);
        paths.end_check();
        assert!(paths.may_be_cut_off(1_020));
        if is_probe {
            paths.record_reached(&name(5), 1_030);
        } else {
            paths.record_contact(&name(5), 1_030);
        }
        assert!(!paths.may_be_cut_off(1_030));
    }
}

macro_rules! extensions {
    ($($name:ident: silent $silent:expr, others $others:expr => $extension_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let silent: Vec<Name> = $silent.into_iter().map(name).collect();
            let answers: &[(&[(usize, ProbeResult)], u64)] = &$others;
            let answers = answers.iter().map(|(results, took_ms)| PeerProbes {
                took_ms: *took_ms,
                ..others(results, true)
            });
            let answers: Vec<PeerProbes> = answers.collect();
            assert_eq!(probe_extension_ms(&silent, &answers), $extension_ms);
        }
    )*};
}

extensions! {
    a_probe_goes_on_for_as_long_as_another_box_took_to_reach_the_upstream:
        silent [0], others [(&[(0, Reached)], 12), (&[(0, Reached)], 40)] => 12;
    probes_of_a_busy_machine_go_on_for_longer:
        silent [0], others [(&[(0, Reached)], 140)] => 140;
    probes_go_on_until_the_last_upstream_that_others_reach:
        silent [0, 1], others [(&[(0, Reached), (1, Silent)], 12), (&[(1, Reached)], 40)] => 40;
    probes_do_not_go_on_for_upstreams_that_nobody_reaches:
        silent [0], others [(&[(0, Silent), (1, Reached)], 12)] => 0;
    probes_go_on_for_a_limited_time:
        silent [0], others [(&[(0, Reached)], 480)] => 150;
}
