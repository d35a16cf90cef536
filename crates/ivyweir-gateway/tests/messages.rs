//! Messages between boxes.

use ivyweir_gateway::message::{decode, encode};
use serde_json::{Value, json};

const LIMIT_BYTES: usize = 100_000;

fn long() -> Value {
    let work = (0..200).map(|n| (format!("i-{n:010x}"), json!(n)));
    Value::Object(work.collect())
}

macro_rules! round_trips {
    ($($name:ident: $message:expr;)*) => {$(
        #[test]
        fn $name() {
            let message: Value = $message;
            assert_eq!(decode::<Value>(&encode(&message), LIMIT_BYTES).expect("a message"), message);
        }
    )*};
}

round_trips! {
    a_short_message_comes_whole: json!({"from": "box-1"});
    a_long_one_comes_whole: long();
    other_scripts_come_whole: json!({"from": "größer ".repeat(100)});
}

#[test]
fn a_long_message_is_sent_in_less_than_half_its_bytes() {
    let plain = long().to_string();
    assert!(encode(&long()).len() * 2 < plain.len());
}

#[test]
fn plain_json_of_any_length_is_read() {
    let plain = long().to_string();
    assert_eq!(
        decode::<Value>(plain.as_bytes(), LIMIT_BYTES).expect("a message"),
        long()
    );
}

macro_rules! refused {
    ($($name:ident: $bytes:expr;)*) => {$(
        #[test]
        fn $name() {
            assert!(decode::<Value>(&$bytes, LIMIT_BYTES).is_err());
        }
    )*};
}

refused! {
    nothing_is_no_message: [0u8; 0];
    other_bytes_are_none: *b"\x78\x9cnot deflated";
    a_message_cut_short_is_none: encode(&long()).slice(..100);
    a_message_that_grows_too_long_is_none: encode(&json!({"text": " ".repeat(LIMIT_BYTES)}));
}
