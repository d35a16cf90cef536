//! Tests where a request is sent while it is not known whether the upstreams at which its connections broke have
//! terminated.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::quarantine::{
    EndObservation, Fingerprint, Ledger, LedgerSync, RequestContent, RequestIdentity, UpstreamEnd,
};
use proptest::prelude::*;

/// Time for which a broken connection counts.
const BREAK_COUNTS_MS: i64 = 2_000;

fn fingerprint_of(name: &str) -> Fingerprint {
    Fingerprint::of(&RequestContent {
        method: "POST",
        host: "studio.example",
        path: "/stream/x",
        workspace: Some("studio"),
        body: name.as_bytes(),
    })
}

/// The loss at `at_ms` of a request that was sent `ran_ms` earlier.
fn observation(name: &str, upstream: u64, at_ms: i64, ran_ms: i64) -> EndObservation {
    EndObservation {
        identity: RequestIdentity::new(fingerprint_of(name), "engines", [].into_iter()),
        end: UpstreamEnd {
            upstream,
            try_hash: 1,
            began_at_ms: at_ms - ran_ms,
            at_ms,
        },
        completed_at_ms: None,
    }
}

/// What happens to a request at an upstream: the number of the upstream, when, and how long it ran there.
enum Event {
    Broke(u64, i64, i64),
    Ended(u64, i64, i64),
    Completed(i64),
}

use Event::{Broke, Completed, Ended};

fn ledger(events: &[(&str, Event)]) -> Ledger {
    let mut ledger = Ledger::default();
    for (name, event) in events {
        match *event {
            Broke(upstream, at_ms, ran_ms) => {
                ledger.connection_broke(&observation(name, upstream, at_ms, ran_ms));
            }
            Ended(upstream, at_ms, ran_ms) => {
                ledger.upstream_ended(&[observation(name, upstream, at_ms, ran_ms)]);
            }
            Completed(at_ms) => {
                ledger.completed(fingerprint_of(name), at_ms);
            }
        }
    }
    ledger
}

macro_rules! containment_cases {
    ($($name:ident: $events:expr, at $now_ms:expr => $upstreams:expr;)*) => {$(
        #[test]
        fn $name() {
            let ledger = ledger(&$events);
            let containment = ledger.containment(fingerprint_of("harm"), $now_ms);
            let mut upstreams = containment.map_or_else(Vec::new, |c| c.upstreams);
            upstreams.sort_unstable();
            assert_eq!(upstreams, $upstreams as [u64; _]);
        }
    )*};
}

containment_cases! {
    two_breaks_are_too_few: [("harm", Broke(1, 100, 5)), ("harm", Broke(2, 200, 5))], at 210 => [];
    three_breaks_one_after_the_other: [("harm", Broke(1, 100, 5)), ("harm", Broke(2, 110, 5)), ("harm", Broke(3, 120, 5))], at 130 => [1, 2, 3];
    three_breaks_within_a_millisecond: [("harm", Broke(3, 100, 0)), ("harm", Broke(2, 100, 0)), ("harm", Broke(1, 100, 0))], at 100 => [1, 2, 3];
    three_breaks_at_one_moment_are_one_loss: [("harm", Broke(1, 100, 50)), ("harm", Broke(2, 110, 50)), ("harm", Broke(3, 120, 50))], at 130 => [];
    an_upstream_that_is_known_to_have_ended_is_not_sent_to: [("harm", Broke(1, 100, 5)), ("harm", Broke(2, 110, 5)), ("harm", Ended(1, 100, 5)), ("harm", Broke(3, 120, 5))], at 130 => [2, 3];
    a_break_seen_after_the_end_adds_nothing: [("harm", Ended(1, 100, 5)), ("harm", Broke(1, 101, 6)), ("harm", Broke(2, 110, 5))], at 130 => [];
    breaks_that_turn_out_to_be_ends_quarantine: [
        ("harm", Broke(1, 100, 5)), ("harm", Broke(2, 110, 5)), ("harm", Broke(3, 120, 5)),
        ("harm", Ended(1, 100, 5)), ("harm", Ended(2, 110, 5)), ("harm", Ended(3, 120, 5))
    ], at 130 => [];
    breaks_before_a_whole_answer_count_no_more: [("harm", Broke(1, 100, 5)), ("harm", Broke(2, 110, 5)), ("harm", Completed(115)), ("harm", Broke(3, 120, 5))], at 130 => [];
    the_first_of_three_breaks_still_counts: [("harm", Broke(1, 100, 5)), ("harm", Broke(2, 200, 5)), ("harm", Broke(3, 300, 5))], at 100 + BREAK_COUNTS_MS - 1 => [1, 2, 3];
    the_first_of_three_breaks_counts_no_more: [("harm", Broke(1, 100, 5)), ("harm", Broke(2, 200, 5)), ("harm", Broke(3, 300, 5))], at 100 + BREAK_COUNTS_MS => [];
    breaks_of_another_request: [("harm", Broke(1, 100, 5)), ("b", Broke(2, 110, 5)), ("b", Broke(3, 120, 5))], at 130 => [];
    breaks_where_another_request_ended_the_upstreams: [
        ("b", Ended(1, 100, 5)), ("b", Ended(2, 110, 5)), ("b", Ended(3, 120, 5)),
        ("harm", Broke(1, 100, 5)), ("harm", Broke(2, 110, 5)), ("harm", Broke(3, 120, 5))
    ], at 130 => [];
}

#[test]
fn a_contained_request_may_be_sent_again_after_the_first_break_expired() {
    let ledger = ledger(&[
        ("harm", Broke(1, 100, 5)),
        ("harm", Broke(2, 200, 5)),
        ("harm", Broke(3, 300, 5)),
    ]);
    let containment = ledger.containment(fingerprint_of("harm"), 400);
    let until_ms = containment.expect("it is contained").until_ms;
    assert_eq!(until_ms, 100 + BREAK_COUNTS_MS);
}

/// Guards against entries of requests whose connections just broke taking the places of those that ended upstreams.
#[test]
fn broken_connections_leave_no_entry_behind() {
    let mut ledger = ledger(&[("harm", Ended(1, 100, 5))]);
    for n in 0..5_000 {
        ledger.connection_broke(&observation(&format!("b-{n}"), 2, 100, 5));
    }
    assert!(ledger.is_suspect(fingerprint_of("harm")));
    ledger.sweep(100 + BREAK_COUNTS_MS);
    let (updates, _) = ledger.updates_since(0, usize::MAX, 100 + BREAK_COUNTS_MS);
    assert_eq!(updates.len(), 1);
}

/// Interval at which the boxes of the model send each other what is new.
const EXCHANGE_MS: i64 = 250;
/// Pause of a caller that goes to another box each time. Until a message arrives, another box cannot know of a break.
const PAUSE_MS: i64 = 300;

/// Boxes whose harmful request ends each upstream that runs it, and which find that out after a while.
struct Fleet {
    boxes: Vec<(Name, Ledger, LedgerSync)>,
    now_ms: i64,
    /// When which box finds out about which end.
    looks: Vec<(i64, usize, EndObservation)>,
    /// Number of upstreams that the request has reached.
    reached: u64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let new_box = |n: usize| {
            let name = Name::from(format!("box-{n}"));
            (name, Ledger::default(), LedgerSync::new(n as u64 + 1))
        };
        Self {
            boxes: (0..count).map(new_box).collect(),
            now_ms: 0,
            looks: Vec::new(),
            reached: 0,
        }
    }

    fn advance(&mut self, by_ms: i64) {
        for _ in 0..by_ms {
            self.now_ms += 1;
            let now_ms = self.now_ms;
            for (_, number, end) in self.looks.extract_if(.., |(at_ms, ..)| *at_ms <= now_ms) {
                self.boxes[number].1.upstream_ended(&[end]);
            }
            if now_ms % EXCHANGE_MS == 0 {
                self.exchange();
            }
        }
    }

    fn exchange(&mut self) {
        for from in 0..self.boxes.len() {
            for to in (0..self.boxes.len()).filter(|to| *to != from) {
                let peer = self.boxes[to].0.clone();
                let (name, ledger, sync) = &mut self.boxes[from];
                let (name, update) = (name.clone(), sync.update_for(&peer, ledger, self.now_ms));
                let (_, ledger, sync) = &mut self.boxes[to];
                if let Some(update) = update {
                    sync.receive(&name, update, ledger, self.now_ms);
                }
            }
        }
    }

    /// One try at a box, with this many sends at most; returns whether it is refused. `looks_ms` are the times that
    /// looks take.
    fn try_at(
        &mut self,
        number: usize,
        sends: usize,
        looks_ms: &mut impl Iterator<Item = i64>,
    ) -> bool {
        let harm = fingerprint_of("harm");
        for _ in 0..sends {
            let ledger = &mut self.boxes[number].1;
            if ledger.is_quarantined(harm) {
                return true;
            }
            if ledger.containment(harm, self.now_ms).is_some() {
                // It goes to an upstream that is about to end, and is lost there.
                return false;
            }
            self.reached += 1;
            let lost = observation("harm", self.reached, self.now_ms, 0);
            ledger.connection_broke(&lost);
            let look_ms = looks_ms.next().unwrap_or(500);
            self.looks.push((self.now_ms + look_ms, number, lost));
            if look_ms == 0 {
                self.advance(1);
            }
        }
        false
    }
}

proptest! {
    /// Guards against sending a request to a fourth upstream because a look takes long.
    #[test]
    fn three_upstreams_are_reached_however_long_looks_take(
        boxes in 1_usize..6,
        is_stream in any::<bool>(),
        looks_ms in prop::collection::vec(0_i64..=500, 3..12),
        order in prop::collection::vec(any::<usize>(), 20),
    ) {
        let mut fleet = Fleet::new(boxes);
        // The boxes have met before.
        fleet.advance(2 * EXCHANGE_MS);
        let mut looks_ms = looks_ms.into_iter();
        let mut is_refused = false;
        for number in order {
            is_refused = fleet.try_at(number % boxes, if is_stream { 3 } else { 1 }, &mut looks_ms);
            prop_assert!(fleet.reached <= 3, "{} upstreams", fleet.reached);
            fleet.advance(if boxes == 1 { 1 } else { PAUSE_MS });
        }
        fleet.advance(1_000);
        for number in 0..boxes {
            is_refused |= fleet.try_at(number, 1, &mut looks_ms);
        }
        prop_assert!(is_refused);
        prop_assert_eq!(fleet.reached, 3);
    }
}
