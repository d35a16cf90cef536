//! Halls that operators drain, and upstreams that are cold.

use std::path::Path;
use std::time::Duration;

use ivyweir_policy::gateway::cold::ColdStart;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::site::SiteConfig;
use ivyweir_standins::edge::{
    KEY, Reply, ScriptedUpstream, StoreFault, TestCluster, UpstreamAction, eventually, get,
    post_stream, site_config,
};
use ivyweir_standins::{Fault, FaultProxy};

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");
const HALLS: [&str; 2] = ["hall-a", "hall-b"];

/// A town whose pools have an upstream in each of two halls.
fn town(boxes: &[&str]) -> TestCluster {
    let mut town = two_halls();
    for hall in boxes {
        town.add_box(hall);
    }
    town
}

fn two_halls() -> TestCluster {
    let town = TestCluster::start(Path::new(BINARY));
    for pool in [&town.services, &town.engines] {
        town.store.put_upstream(&in_hall(&pool[1], HALLS[1]));
    }
    town
}

fn in_hall(upstream: &ScriptedUpstream, hall: &str) -> UpstreamRecord {
    UpstreamRecord {
        hall: hall.into(),
        ..upstream.record()
    }
}

fn ask(town: &TestCluster, number: usize, id: &str) -> Reply {
    let auth = format!("Bearer {KEY}");
    let headers = [("ivyweir-request-id", id), ("authorization", auth.as_str())];
    get(town.addr(number), "/safe/x", &headers).expect("an answer")
}

fn seen(upstream: &ScriptedUpstream) -> usize {
    upstream.received_requests().len()
}

fn has_logged(town: &TestCluster, number: usize, event: &str, times: usize) -> bool {
    town.boxes[number].event_lines(event).len() >= times
}

/// Box `number` serves 20 requests, none of them in the first hall.
fn keeps_out_of_the_first_hall(town: &TestCluster, number: usize) {
    let before = seen(&town.services[0]);
    for n in 0..20 {
        assert_eq!(ask(town, number, &format!("out-{n}")).status, 200);
    }
    assert_eq!(seen(&town.services[0]), before);
}

/// Box `number` uses the first hall's upstream sooner or later.
fn uses_the_first_hall(town: &TestCluster, number: usize) {
    let before = seen(&town.services[0]);
    let mut n = 0;
    eventually("the hall is used", || {
        n += 1;
        ask(town, number, &format!("in-{n}"));
        seen(&town.services[0]) > before
    });
}

#[test]
fn a_drained_hall_gets_nothing_until_that_is_taken_back() {
    let town = town(&["hall-a"]);
    uses_the_first_hall(&town, 0);
    town.store.drain_hall("hall-a");
    eventually("the box has heard", || {
        has_logged(&town, 0, "hall_drained", 1)
    });
    keeps_out_of_the_first_hall(&town, 0);
    town.store.undrain_hall("hall-a");
    uses_the_first_hall(&town, 0);
}

#[test]
fn boxes_that_hear_only_a_relay_know_of_a_drained_hall() {
    let town = town(&["hall-a", "hall-a", "hall-b"]);
    town.store.drain_hall("hall-a");
    for number in 0..3 {
        eventually("the box has heard", || {
            has_logged(&town, number, "hall_drained", 1)
        });
        keeps_out_of_the_first_hall(&town, number);
    }
}

#[test]
fn a_box_that_starts_later_knows_of_a_drained_hall_from_its_first_request() {
    let mut town = town(&["hall-a"]);
    town.store.drain_hall("hall-a");
    eventually("the box has heard", || {
        has_logged(&town, 0, "hall_drained", 1)
    });
    let store_addr = town.store.addr().to_string();
    let late = town.start_box("hall-a", &store_addr);
    let before = seen(&town.services[0]);
    // Without a wait: whatever it answers, it sends nothing there.
    for n in 0..50 {
        ask(&town, late, &format!("late-{n}"));
    }
    assert_eq!(seen(&town.services[0]), before);
}

#[test]
fn a_box_that_starts_while_the_store_is_out_knows_of_a_drained_hall() {
    let mut town = town(&["hall-a"]);
    town.store.drain_hall("hall-a");
    eventually("the box has heard", || {
        has_logged(&town, 0, "hall_drained", 1)
    });
    town.store.set_fault(StoreFault::Silent);
    let store_addr = town.store.addr().to_string();
    let late = town.start_box("hall-a", &store_addr);
    eventually("the box has heard", || {
        has_logged(&town, late, "hall_drained", 1)
    });
}

#[test]
fn a_drain_binds_while_the_store_is_out_directly_after_it() {
    let town = town(&["hall-a", "hall-b"]);
    town.store.drain_hall("hall-a");
    for number in 0..2 {
        eventually("the box has heard", || {
            has_logged(&town, number, "hall_drained", 1)
        });
    }
    town.store.set_fault(StoreFault::Silent);
    let before = seen(&town.services[0]);
    for n in 0..40 {
        ask(&town, n % 2, &format!("out-{n}"));
        std::thread::sleep(Duration::from_millis(20));
    }
    town.store.set_fault(StoreFault::None);
    for number in 0..2 {
        eventually("the key works again", || {
            ask(&town, number, "r").status == 200
        });
        keeps_out_of_the_first_hall(&town, number);
    }
    assert_eq!(seen(&town.services[0]), before);
}

#[test]
fn a_box_that_was_cut_off_and_is_back_keeps_out_of_a_hall_drained_meanwhile() {
    let mut town = two_halls();
    let store_addr = town.store.addr().to_string();
    let path = FaultProxy::start(&store_addr).expect("a port");
    town.add_box_with_store_addr("hall-a", &path.addr());
    path.set(Fault::HalfOpen);
    eventually("the box has lost its proof", || !town.is_ready(0));
    town.store.drain_hall("hall-a");
    path.set(Fault::Cut);
    path.set(Fault::None);
    eventually("the box has heard", || {
        has_logged(&town, 0, "hall_drained", 1)
    });
    eventually("the key works again", || ask(&town, 0, "r").status == 200);
    keeps_out_of_the_first_hall(&town, 0);
}

#[test]
fn a_drain_that_the_store_no_longer_tells_the_history_of_is_heard() {
    let town = town(&["hall-a"]);
    town.store.drain_hall("hall-a");
    town.store.forget_history();
    eventually("the box has heard", || {
        has_logged(&town, 0, "hall_drained", 1)
    });
    keeps_out_of_the_first_hall(&town, 0);
    town.store.undrain_hall("hall-a");
    town.store.forget_history();
    uses_the_first_hall(&town, 0);
}

#[test]
fn where_all_halls_are_drained_requests_are_refused_at_once() {
    let town = town(&["hall-a"]);
    for hall in HALLS {
        town.store.drain_hall(hall);
    }
    eventually("the box has heard", || {
        has_logged(&town, 0, "hall_drained", 2)
    });
    let sent: usize = town.services.iter().map(seen).sum();
    let refused = ask(&town, 0, "r1");
    assert_eq!(refused.status, 503);
    assert!(
        refused.text().contains("halls_drained"),
        "{}",
        refused.text()
    );
    assert_eq!(refused.headers["retry-after"], "1.000");
    assert_eq!(town.services.iter().map(seen).sum::<usize>(), sent);
    town.store.undrain_hall("hall-b");
    eventually("the other hall serves", || {
        ask(&town, 0, "r2").status == 200
    });
    keeps_out_of_the_first_hall(&town, 0);
}

#[test]
fn a_drain_that_is_taken_back_and_asked_again_within_a_second_holds() {
    let town = town(&["hall-a"]);
    town.store.drain_hall("hall-a");
    town.store.undrain_hall("hall-a");
    town.store.drain_hall("hall-a");
    eventually("the box has heard", || {
        let drained = town.boxes[0].event_lines("hall_drained").len();
        drained > 0 && drained > town.boxes[0].event_lines("hall_undrained").len()
    });
    keeps_out_of_the_first_hall(&town, 0);
}

#[test]
fn a_hall_that_nobody_knows_is_drained_without_harm() {
    let town = town(&["hall-a"]);
    town.store.drain_hall("hall-nowhere");
    eventually("the box has heard", || {
        has_logged(&town, 0, "hall_drained", 1)
    });
    uses_the_first_hall(&town, 0);
}

#[test]
fn a_stream_is_not_resumed_in_a_drained_hall() {
    let town = town(&["hall-b"]);
    let broken = UpstreamAction::Stream {
        events: 40,
        gap_ms: 50,
        truncate_after: Some(30),
        confidence: None,
    };
    // Both break, so that the caller's stream would go on in the other hall wherever it began.
    for engine in &town.engines {
        engine.set_action(broken.clone());
    }
    let addr = town.addr(0);
    let caller = std::thread::spawn(move || post_stream(addr, "/stream/x", "r1"));
    eventually("an engine has it", || {
        town.engines.iter().any(|e| seen(e) > 0)
    });
    let drained = usize::from(seen(&town.engines[0]) > 0);
    town.store.drain_hall(HALLS[drained]);
    eventually("the box has heard", || {
        has_logged(&town, 0, "hall_drained", 1)
    });
    caller.join().expect("no panic").expect("a head");
    assert_eq!(seen(&town.engines[drained]), 0);
}

/// A configuration whose plain upstreams bear two requests a second for 2 s after their start.
fn cold_site(version: u64) -> SiteConfig {
    let mut site = site_config(version, &[KEY]);
    for pool in &mut site.pools {
        pool.cold_start = Some(ColdStart {
            lasts_ms: 2_000,
            requests_per_s: 2.0,
        });
    }
    site
}

/// The most requests that an upstream got within a second.
fn most_in_a_second(upstream: &ScriptedUpstream) -> usize {
    let at: Vec<_> = upstream
        .received_requests()
        .iter()
        .map(|seen| seen.received_at)
        .collect();
    let in_second = |from| {
        let until = from + Duration::from_secs(1);
        at.iter().filter(|&&t| t >= from && t < until).count()
    };
    at.iter().map(|&from| in_second(from)).max().unwrap_or(0)
}

#[test]
fn the_upstreams_of_a_hall_come_back_as_cold_ones() {
    let mut town = two_halls();
    town.store.put_site(&cold_site(2));
    for hall in HALLS {
        town.store.drain_hall(hall);
    }
    for hall in ["hall-a", "hall-a", "hall-b"] {
        town.add_box(hall);
    }
    // Boxes own no part of what cold upstreams bear in their first three seconds.
    std::thread::sleep(Duration::from_millis(3_200));
    town.store.undrain_hall("hall-a");
    let mut refused = Vec::new();
    eventually("the hall's upstream has been warm for a while", || {
        for number in 0..3 {
            let reply = ask(&town, number, "r");
            if reply.status != 200 {
                refused.push(reply.text());
            }
        }
        seen(&town.services[0]) > 200
    });
    let cold: Vec<_> = town.services[0].received_requests();
    let first = cold[0].received_at;
    let while_cold = cold
        .iter()
        .filter(|s| s.received_at < first + Duration::from_millis(1_000));
    assert!(while_cold.count() <= 2, "more than it bears");
    assert!(
        refused.iter().any(|text| text.contains("all_cold")),
        "{refused:?}"
    );
    assert_eq!(seen(&town.services[1]), 0, "the other hall is drained");
}

#[test]
fn a_cold_upstream_gets_what_it_bears_beside_a_warm_one() {
    let mut town = two_halls();
    town.store.put_site(&cold_site(2));
    town.add_box("hall-a");
    std::thread::sleep(Duration::from_millis(3_200));
    town.store.put_upstream(&UpstreamRecord {
        cold_remaining_ms: 600_000,
        ..town.services[0].record()
    });
    let cold_id = town.services[0].id();
    town.store.drain_hall("hall-nowhere");
    eventually("the box has heard", || {
        has_logged(&town, 0, "hall_drained", 1)
    });
    let before = seen(&town.services[0]);
    for n in 0..200 {
        assert_eq!(ask(&town, 0, &format!("r{n}")).status, 200);
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(
        most_in_a_second(&town.services[0]) <= 2,
        "{cold_id} got more than it bears"
    );
    assert!(seen(&town.services[0]) > before, "it gets what it bears");
}

#[test]
fn a_rate_that_cannot_be_kept_to_is_ignored_with_a_line() {
    let mut town = two_halls();
    let mut site = cold_site(2);
    for pool in &mut site.pools {
        pool.cold_start = Some(ColdStart {
            lasts_ms: 2_000,
            requests_per_s: -8.8,
        });
    }
    town.store.put_site(&site);
    town.add_box("hall-a");
    assert!(has_logged(&town, 0, "cold_rate_ignored", 1));
    uses_the_first_hall(&town, 0);
}
