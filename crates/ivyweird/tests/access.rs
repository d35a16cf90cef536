//! Access and limits: who may do what, and callers who send badly, slowly or too much.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::{event, spec, start, three};
use ivyweir_operator::Client;
use ivyweir_peer::pb;
use ivyweir_policy::{Intent, Operator, Role};
use ivyweir_standins::cluster::hash_hex;
use ivyweir_standins::{Cluster, wait_until};

#[test]
fn a_viewer_may_look_and_a_stranger_may_not() {
    let world = three();
    let viewer = Operator {
        key_hash: hash_hex("viewer key").as_str().into(),
        role: Role::Viewer,
    };
    let generation = world.apply_intent(
        0,
        &Intent::PutOperator {
            name: "vera".into(),
            operator: viewer,
        },
    );
    world.wait_for_generation(generation);
    let url = world.running_box(1).operator_url();
    let vera = Client::new(&url, "viewer key");
    assert!(vera.status().is_ok());
    let refused = |error: ivyweir_operator::Error| error.status();
    assert_eq!(vera.plan(&event("e")).map_err(refused), Err(Some(403)));
    let plan = world
        .operator(1)
        .plan(&event("e"))
        .expect("the intent fits");
    assert_eq!(vera.confirm(&plan).map_err(refused), Err(Some(403)));
    let stranger = Client::new(&url, "some key");
    assert_eq!(stranger.status().map_err(refused), Err(Some(401)));
    let shown = vera.config().expect("she may look").to_vec();
    let shown = String::from_utf8_lossy(&shown).into_owned();
    assert!(
        !shown.contains(&hash_hex("viewer key")),
        "no hash and no secret is shown"
    );
}

#[test]
fn a_peer_without_the_fleet_key_is_not_heard() {
    let world = three();
    let addr = world.running_box(0).settings.peer_addr.clone();
    let stranger = ivyweir_peer::Client::new(b"another key").expect("threads can be made");
    let forged = pb::Digest {
        r#box: "box-9".into(),
        members: vec![pb::Member {
            r#box: "box-9".into(),
            incarnation: 1,
            ..pb::Member::default()
        }],
        ..pb::Digest::default()
    };
    let error = stranger.exchange(&addr, forged).expect_err("it is refused");
    assert!(error.certainly_not_received(), "{error}");
    let status = world.operator(0).status().expect("the box answers");
    assert!(status.boxes.iter().all(|b| b.name.as_ref() != "box-9"));
}

/// Sends raw bytes and reads what comes back until the box closes or falls silent.
fn send_raw(world: &Cluster, bytes: &[u8]) -> String {
    let mut socket =
        TcpStream::connect(&world.running_box(0).settings.caller_addr).expect("the box listens");
    socket
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("a valid time");
    socket.write_all(bytes).expect("the box takes it");
    let mut answer = Vec::new();
    let mut piece = [0; 4_096];
    while let Ok(read) = socket.read(&mut piece) {
        answer.extend_from_slice(&piece[..read]);
        if read == 0 || answer.windows(9).any(|w| w == b"\"not_run\"") {
            break;
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

macro_rules! bad_callers {
    ($($name:ident: $head:expr => $expected:literal;)*) => {
        #[test] fn bad_callers_are_told_why_and_nothing_is_sent() {
            let world = start(spec(&["hall-a"]));
            $(
                let answer = send_raw(&world, $head.as_bytes());
                assert!(answer.contains($expected), "{}: {answer}", stringify!($name));
            )*
            let runs: usize = world.engines.iter().map(|e| e.runs().len()).sum();
            assert_eq!(runs, 0);
            wait_until("the box serves on", || {
                world.caller(0, "studio").chat("notes", "hello", 4).complete
            });
        }
    };
}

bad_callers! {
    too_large: "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nContent-Length: 99000000\r\n\r\n" => "too_large";
    too_slow: "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nContent-Length: 5000\r\n\r\n{" => "too_slow";
    too_many_headers: format!("GET /v1/models HTTP/1.1\r\nHost: b\r\n{}\r\n", "A: b\r\n".repeat(70)) => "too_large";
    too_long_a_path: format!("GET /{} HTTP/1.1\r\nHost: b\r\n\r\n", "a".repeat(5_000)) => "too_large";
    no_key: "GET /v1/models HTTP/1.1\r\nHost: b\r\n\r\n" => "unauthenticated";
}
