//! Records and bytes drawn at random.

use std::sync::Arc;

use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::site::{RouteKind, SiteConfig};
use ivyweir_standins::edge::{RawAnswer, RawEnd};
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde_json::{Value, json};

use super::WILD_POOL;

const NUMBERS: [&str; 8] = [
    "-1",
    "0",
    "0.5",
    "4294967296",
    "18446744073709551615",
    "1e300",
    "999999999999999999999999",
    "x",
];

/// A name of characters that have a meaning in paths, or of no printable ones, and at times a very long one.
pub fn odd_name(random: &mut StdRng) -> String {
    const CHARACTERS: [char; 16] = [
        'a',
        'z',
        ' ',
        '&',
        '#',
        '+',
        '%',
        '/',
        '?',
        '=',
        '.',
        '\n',
        '\0',
        '"',
        '\u{e9}',
        '\u{10ffff}',
    ];
    let length = if random.random_bool(0.05) {
        random.random_range(5_000..70_000)
    } else {
        random.random_range(0..12)
    };
    let characters = (0..length).map(|_| *CHARACTERS.choose(random).expect("characters"));
    characters.collect()
}

fn odd_value(random: &mut StdRng) -> Value {
    match random.random_range(0..8) {
        0 => Value::Null,
        1 => json!(u64::MAX),
        2 => json!(-1),
        3 => json!(1e300),
        4 => json!(odd_name(random)),
        5 => (0..random.random_range(1..120)).fold(json!(0), |inner, _| json!([inner])),
        6 => json!("x".repeat(random.random_range(0..200_000))),
        _ => json!({}),
    }
}

/// An upstream's record with odd fields, or something else.
pub fn odd_record(name: &str, upstream: &UpstreamRecord, random: &mut StdRng) -> Value {
    if random.random_bool(0.3) {
        return odd_value(random);
    }
    let mut record = serde_json::to_value(upstream).expect("records can be serialized");
    record["id"] = json!(name);
    let fields = [
        "addr",
        "hall",
        "version",
        "slots",
        "is_leaving",
        "cold_remaining_ms",
        "pool",
    ];
    for field in fields {
        if random.random_bool(0.3) {
            record[field] = odd_value(random);
        }
    }
    let port = ["0", "65536", "99999999999"].choose(random).expect("ports");
    if random.random_bool(0.2) {
        record["addr"] = json!(format!("127.0.0.1:{port}"));
    }
    let kind = ["upstream", "rollout", "site", "drained_hall"].choose(random);
    let mut record = json!({ *kind.expect("kinds"): record });
    if random.random_bool(0.5) {
        record["name"] = json!(name);
    }
    record
}

/// Gives the wild routes and pool of a configuration numbers that are out of range.
pub fn odd_site(site: &mut SiteConfig, random: &mut StdRng) {
    let mut time = || {
        *[0, 1, 1_000, 4_000, u64::MAX]
            .choose(random)
            .expect("times")
    };
    for route in &mut site.routes {
        if !route.name.starts_with(WILD_POOL) {
            continue;
        }
        let route = Arc::make_mut(route);
        route.timeout_ms = time().min(3_000);
        route.latency_aim_ms = time();
        if let RouteKind::Stream { gap_aim_ms, .. } = &mut route.kind {
            *gap_aim_ms = time();
        }
        route.max_attempts = time() as u32;
        route
            .pools
            .iter_mut()
            .for_each(|share| share.weight = time() as u32);
        route.priority = time() as u8;
    }
    let wild = site.pools.iter_mut().find(|pool| &*pool.name == WILD_POOL);
    if let Some(pool) = wild {
        pool.max_connections = time() as u32;
    }
}

/// An answer that may be sound, cut anywhere, endless, or no HTTP at all.
pub fn raw_answer(random: &mut StdRng) -> RawAnswer {
    if random.random_bool(0.1) {
        return RawAnswer {
            head: (0..random.random_range(0..3_000))
                .map(|_| random.random())
                .collect(),
            filler: Vec::new(),
            repeats: 0,
            end: end(random),
        };
    }
    let body = body(random);
    let framing = framing(body.len(), random);
    let status = [200, 200, 200, 500, 503, 429, 421, 101, 204, 304, 999];
    let status = *status.choose(random).expect("statuses");
    let kind = ["text/event-stream", "text/plain"]
        .choose(random)
        .expect("kinds");
    let mut head = format!(
        "HTTP/1.1 {status} X\r\nivyweir-signature: s\r\nivyweir-request-id: REQUEST_ID\r\n\
         content-type: {kind}\r\n{framing}"
    );
    for name in [
        "ivyweir-load",
        "ivyweir-limit",
        "retry-after",
        "ivyweir-not-run",
        "ivyweir-brittle",
    ] {
        if random.random_bool(0.1) {
            let number = NUMBERS.choose(random).expect("numbers");
            head.push_str(&format!("{name}: {number},{number}\r\n"));
        }
    }
    if random.random_bool(0.1) {
        let number = NUMBERS.choose(random).expect("numbers");
        head.push_str(&format!("keep-alive: timeout={number}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = [head.into_bytes(), body].concat();
    if random.random_bool(0.4) {
        bytes.truncate(random.random_range(0..=bytes.len()));
    }
    let is_endless = random.random_bool(0.15);
    let filler = [
        "x",
        "data: x\n",
        "1000\r\n",
        ": \n\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
    ];
    RawAnswer {
        head: bytes,
        filler: filler.choose(random).expect("fillers").as_bytes().to_vec(),
        repeats: if is_endless {
            random.random_range(0..8 << 20)
        } else {
            0
        },
        end: end(random),
    }
}

fn body(random: &mut StdRng) -> Vec<u8> {
    let events = random.random_range(0..20);
    let events = (1..=events).map(|id| format!("id: {id}\ndata: token {id}\n\n"));
    events.collect::<String>().into_bytes()
}

fn framing(body_bytes: usize, random: &mut StdRng) -> String {
    match random.random_range(0..6) {
        0..=2 => format!("content-length: {body_bytes}\r\n"),
        3 => "connection: close\r\n".into(),
        4 => "transfer-encoding: chunked\r\n".into(),
        _ => format!(
            "content-length: {}\r\n",
            NUMBERS.choose(random).expect("numbers")
        ),
    }
}

fn end(random: &mut StdRng) -> RawEnd {
    let ends = [RawEnd::Close, RawEnd::Silence, RawEnd::Keep];
    *ends.choose(random).expect("ends")
}
