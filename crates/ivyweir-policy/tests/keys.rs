//! Boundary cases of session tokens, freshness assessment and bills.

use ivyweir_policy::billing::{Bill, Call, Record, Segment};
use ivyweir_policy::freshness::{
    Freshness, FreshnessEvidence, MAX_PROOF_AGE_MS, assess, may_accept_change,
};
use ivyweir_policy::token::Session;
use ivyweir_policy::{ErrorKind, SessionKey};
use proptest::prelude::*;

fn key(id: &str) -> SessionKey {
    SessionKey {
        id: id.into(),
        secret_hex: format!("{id}{id}").into(),
        created_ms: 1,
    }
}

fn session() -> Session {
    Session {
        key_id: "k1".into(),
        workspace: "studio".into(),
        nonce: "n".into(),
        versions: vec!["m@v1".parse().expect("valid version reference")],
        box_name: "box-1".into(),
        incarnation: 5,
        expires_ms: 1_000,
    }
}

macro_rules! token_tests {
    ($($name:ident: $text:expr, $keys:expr, $workspace:literal, $now_ms:literal => $expected:expr;)*) => {
        $(#[test] fn $name() {
            let token = session().to_signed_token(&key("k1"));
            let text: String = $text(&token);
            let opened = Session::from_signed_token(&text, &$keys, $workspace, $now_ms);
            assert_eq!(opened.map(|s| s.nonce.to_string()).map_err(|e| e.kind()), $expected);
        })*
    };
}

fn unchanged(token: &str) -> String {
    token.to_owned()
}

fn mac_changed(token: &str) -> String {
    let (start, last) = token.split_at(token.len() - 1);
    format!("{start}{}", if last == "0" { "1" } else { "0" })
}

fn body_changed(token: &str) -> String {
    let (body, mac) = token.split_once('.').expect("a token has two parts");
    let changed = body.replacen("31", "32", 1);
    assert_ne!(changed, body);
    format!("{changed}.{mac}")
}

token_tests! {
    its_own: unchanged, [key("k1")], "studio", 999 => Ok("n".to_owned());
    after_a_rotation: unchanged, [key("k1"), key("k2")], "studio", 1 => Ok("n".to_owned());
    after_its_key_is_dropped: unchanged, [key("k2")], "studio", 1 => Err(ErrorKind::BadSignature);
    of_another_workspace: unchanged, [key("k1")], "network", 1 => Err(ErrorKind::BadSignature);
    too_late: unchanged, [key("k1")], "studio", 1_000 => Err(ErrorKind::Expired);
    with_another_mac: mac_changed, [key("k1")], "studio", 1 => Err(ErrorKind::BadSignature);
    with_another_body: body_changed, [key("k1")], "studio", 1 => Err(ErrorKind::BadSignature);
    of_nothing: |_: &str| String::new(), [key("k1")], "studio", 1 => Err(ErrorKind::Invalid);
    too_long: |t: &str| t.repeat(100), [key("k1")], "studio", 1 => Err(ErrorKind::Invalid);
}

macro_rules! freshness_tests {
    ($($name:ident: $age:expr, $alive:literal of $listed:literal => $freshness:ident, $accepts:literal;)*) => {
        $(#[test] fn $name() {
            let evidence = FreshnessEvidence { proof_age_ms: $age, listed_boxes: $listed, alive_boxes: $alive };
            assert_eq!((assess(evidence), may_accept_change(evidence)), (Freshness::$freshness, $accepts));
        })*
    };
}

freshness_tests! {
    all_is_well: Some(10), 9 of 9 => Fresh, true;
    cut_from_peers_only: Some(10), 1 of 9 => Fresh, false;
    at_the_limit: Some(MAX_PROOF_AGE_MS), 1 of 9 => Fresh, false;
    store_out_for_all: Some(60_000), 9 of 9 => StoreUnavailable, true;
    store_out_and_half_gone: Some(60_000), 4 of 8 => Partitioned, false;
    cut_from_all: Some(3_001), 1 of 9 => Partitioned, false;
    never_seen_the_store: None, 5 of 9 => StoreUnavailable, true;
    alone: Some(60_000), 1 of 1 => StoreUnavailable, true;
}

fn record(workspace: &str, key: &str, cost_micro: u64, at_ms: u64) -> Record {
    Record {
        workspace: workspace.into(),
        key: key.into(),
        calls: vec![Call {
            version: "m@v1".into(),
            tokens: 10,
            cost_micro,
        }],
        at_ms,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn a_bill_does_not_depend_on_order_or_repeats(
        rows in prop::collection::vec((0_u8..2, 0_u8..12, 1_u64..50, 0_u64..9), 1..60),
        cuts in prop::collection::vec(0_usize..60, 0..6),
        seed in any::<u64>(),
    ) {
        let records: Vec<Record> = rows
            .iter()
            .map(|(w, k, cost, at)| record(&format!("w{w}"), &format!("k{k}"), *cost, *at))
            .collect();
        let expected = Bill::from_segments([Segment { records: records.clone() }]);
        let mut shuffled = records.clone();
        shuffled.sort_by_key(|r| ivyweir_policy::hash::mix(seed, r.at_ms * 100 + r.cost_micro()));
        let mut segments: Vec<Segment> = Vec::new();
        for cut in cuts {
            let (front, _) = shuffled.split_at(cut.min(shuffled.len()));
            segments.push(Segment { records: front.to_vec() });
        }
        segments.push(Segment { records: shuffled });
        let merged = Bill::from_segments(segments);
        prop_assert_eq!(merged.workspaces, expected.workspaces);
    }

    #[test]
    fn any_text_is_no_token(text in ".{0,200}") {
        prop_assert!(Session::from_signed_token(&text, &[key("k1")], "studio", 0).is_err());
    }
}
