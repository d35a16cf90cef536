//! Encoding and decoding of messages between boxes.

use ivyweir_gateway::message::{decode, encode};
use serde_json::{Value, json};

const MAX_DECODED_BYTES: usize = 100_000;

fn long_message() -> Value {
    let entries = (0..200).map(|n| (format!("i-{n:010x}"), json!(n)));
    Value::Object(entries.collect())
}

macro_rules! round_trip_tests {
    ($($name:ident: $message:expr;)*) => {$(
        #[test]
        fn $name() {
            let message: Value = $message;
            assert_eq!(decode::<Value>(&encode(&message), MAX_DECODED_BYTES).expect("a message"), message);
        }
    )*};
}

round_trip_tests! {
    a_short_message_comes_whole: json!({"from": "box-1"});
    a_long_one_comes_whole: long_message();
    other_scripts_come_whole: json!({"from": "größer ".repeat(100)});
}

#[test]
fn a_long_message_is_sent_in_less_than_half_its_bytes() {
    let plain = long_message().to_string();
    assert!(encode(&long_message()).len() * 2 < plain.len());
}

#[test]
fn plain_json_of_any_length_is_read() {
    let plain = long_message().to_string();
    assert_eq!(
        decode::<Value>(plain.as_bytes(), MAX_DECODED_BYTES).expect("a message"),
        long_message()
    );
}

macro_rules! decode_error_tests {
    ($($name:ident: $bytes:expr;)*) => {$(
        #[test]
        fn $name() {
            assert!(decode::<Value>(&$bytes, MAX_DECODED_BYTES).is_err());
        }
    )*};
}

decode_error_tests! {
    nothing_is_no_message: [0u8; 0];
    other_bytes_are_none: *b"\x78\x9cnot deflated";
    a_message_cut_short_is_none: encode(&long_message()).slice(..100);
    a_message_that_grows_too_long_is_none: encode(&json!({"text": " ".repeat(MAX_DECODED_BYTES)}));
}
