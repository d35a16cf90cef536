//! What upstreams say of themselves in their answers: that they leave, and that they want nothing for a while.
//!
//! What users saw: requests reached an engine 11.6 and 12.0 s after its answers had begun to say that it leaves; 2 s are
//! allowed. Order of events: the store went out; the engine began to leave, so its record could not say so; its answers did,
//! and boxes passed them on; boxes refused keyed requests for want of a proof; the store came back, and for 0.3 s its record
//! of the engine still said that it takes work; two boxes sent to it, the idlest of 18.
//!
//! Cause: a box read what an answer says of its load and of the request, and nothing of what it says of the upstream's
//! leaving; only records and refusals by another incarnation moved an upstream's standing. Evidence: the lines of those
//! answers say `"leaving":true`, and no `upstream_changed` follows on that box until the record changes.

use std::path::Path;

use ivyweir_standins::edge::{
    Act, KEY, Reply, ScriptedUpstream, StoreFault, Town, eventually, get, post_stream,
};

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");

fn town(halls: &[&str]) -> Town {
    let mut town = Town::start(Path::new(BINARY));
    for hall in halls {
        town.add_box(hall);
    }
    town
}

fn ask(town: &Town, number: usize, path: &str) -> Reply {
    let auth = format!("Bearer {KEY}");
    let headers = [("ivyweir-request-id", "r"), ("authorization", &auth)];
    get(town.addr(number), path, &headers).expect("an answer")
}

fn stream(town: &Town, number: usize) -> Reply {
    post_stream(town.addr(number), "/stream/x", "r").expect("an answer")
}

fn seen(upstream: &ScriptedUpstream) -> usize {
    upstream.seen().len()
}

/// Lets the first engine say that it leaves, until it has said so to the first box.
fn say_leaving_while_the_store_is_out(town: &Town) {
    town.store.set_fault(StoreFault::Silent);
    town.engines[0].say_leaving();
    eventually("the box has its word", || {
        stream(town, 0);
        let relaying = town.boxes[0].lines_of("relaying");
        relaying.iter().any(|line| line["leaving"] == true)
    });
}

#[test]
fn what_an_upstream_said_of_leaving_holds_when_the_store_is_back_and_says_otherwise() {
    let town = town(&["hall-a"]);
    let act = Act::Stream {
        events: 2,
        gap_ms: 1,
        break_after: None,
        confidence: None,
    };
    town.engines
        .iter()
        .for_each(|engine| engine.set(act.clone()));
    say_leaving_while_the_store_is_out(&town);
    eventually("the box has lost its proof", || !town.is_ready(0));
    let before = seen(&town.engines[0]);
    town.store.set_fault(StoreFault::None);
    eventually("the key works again", || stream(&town, 0).status == 200);
    for _ in 0..20 {
        assert_eq!(stream(&town, 0).status, 200);
    }
    assert_eq!(seen(&town.engines[0]), before);
}

#[test]
fn an_upstream_that_wants_nothing_for_a_while_gets_nothing() {
    let town = town(&["hall-a"]);
    for service in &town.services {
        service.set(Act::NotRun);
        service.say_stay_away("60");
    }
    for _ in 0..20 {
        assert_eq!(ask(&town, 0, "/unsafe/x").status, 503);
    }
    for service in &town.services {
        assert!(seen(service) <= 2, "{} sends", seen(service));
    }
}
