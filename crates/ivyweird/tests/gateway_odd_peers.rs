//! Messages of other boxes that cannot be decoded, or whose numbers are out of range.

use ivyweir_standins::edge::{KEY, TestCluster, call};
use serde_json::{Value, json};

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");
const MAX: u64 = u32::MAX as u64;

fn report(from: &str, word: Value, more: Value) -> Vec<u8> {
    let mut message = json!({
        "from": from, "for_hall": false, "is_root": false, "hears": true, "word": word,
    });
    if let (Some(message), Value::Object(more)) = (message.as_object_mut(), more) {
        message.extend(more);
    }
    message.to_string().into_bytes()
}

fn word(repeats: Value) -> Value {
    json!({"work": {}, "tallies": {}, "repeats": repeats})
}

/// Sends a message to the listener for other boxes, from two senders.
macro_rules! odd_messages {
    ($($name:ident: $path:expr, $body:expr;)*) => {$(
        #[test]
        fn $name() {
            let cluster = TestCluster::with_boxes(BINARY, &["hall-a", "hall-a"]);
            for from in ["box-1", "box-2"] {
                let body: fn(&str) -> Vec<u8> = $body;
                let reply = call(cluster.boxes[0].peer_addr, "POST", $path, &[], body(from).into());
                assert!(reply.is_ok(), "no answer");
            }
            for _ in 0..3 {
                assert_eq!(cluster.status(0, KEY), 200);
                std::thread::sleep(std::time::Duration::from_millis(150));
            }
            assert_eq!(cluster.boxes[0].event_lines("panicked"), Vec::<Value>::new());
        }
    )*};
}

// Guards against messages of another build, or of no box at all, that end a task of the box or fail its requests.
odd_messages! {
    bytes_that_are_no_message_fail_nothing: "/peer/word", |_| vec![0xff; 5_000];
    a_deeply_nested_message_fails_nothing: "/peer/word", |_| "[".repeat(100_000).into_bytes();
    a_join_of_nothing_fails_nothing: "/peer/join", |_| b"{}".to_vec();
    a_probe_of_nothing_fails_nothing: "/peer/probe", |_| b"{}".to_vec();
    counts_out_of_range_fail_nothing: "/peer/word", |from| {
        report(from, word(json!({"services": {"requests": MAX, "repeats": MAX}})), json!({}))
    };
    ages_out_of_range_fail_nothing: "/peer/word", |from| {
        let limit = json!({"upstream": "services-0", "per_1000_s": MAX, "age_ms": u64::MAX});
        let brittle = json!({"pool": "engines", "rejections_per_s": MAX, "age_ms": u64::MAX});
        report(from, word(json!({})), json!({"limits": [limit], "brittle": [brittle]}))
    };
    a_wait_out_of_range_fails_nothing: "/peer/follow?topic=site&since=0.0&wait_ms=18446744073709551615&from=b",
        |_| Vec::new();
}
