//! Tests of the caller API: each event is flushed when it is written, and invalid input is refused
//! with the name of the field.

use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};

use ivyweir_caller::{ChatRequest, EventWriter, RequestMetadata, error_body};
use ivyweir_policy::{Code, Refusal};
use proptest::prelude::*;

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, data: &[u8]) -> std::io::Result<usize> {
        self.0
            .lock()
            .expect("the lock is not poisoned")
            .extend_from_slice(data);
        Ok(data.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl SharedBuffer {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().expect("the lock is not poisoned").clone())
            .expect("the output is UTF-8")
    }
}

#[test]
fn each_event_is_on_the_wire_when_the_call_returns() {
    let output = SharedBuffer::default();
    let buffered = BufWriter::with_capacity(64 << 10, output.clone());
    let mut events = EventWriter::start(Box::new(buffered), &[]).expect("the write succeeds");
    assert!(
        output.text().ends_with("\r\n\r\n"),
        "the response head is not flushed"
    );
    for n in 0..3 {
        events
            .write_event(&format!("token {n}"))
            .expect("the write succeeds");
        assert!(output.text().contains(&format!("data: token {n}\n\n")));
    }
    events.finish().expect("the write succeeds");
    assert!(
        output.text().ends_with("data: [DONE]\n\n\r\n0\r\n\r\n"),
        "{:?}",
        output.text()
    );
}

#[test]
fn a_stream_that_fails_has_no_end_mark() {
    let output = SharedBuffer::default();
    let events = EventWriter::start(Box::new(output.clone()), &[]).expect("the write succeeds");
    let refusal = Refusal::unknown(Code::UpstreamTruncated, "gone");
    events
        .finish_with_error(&refusal)
        .expect("the write succeeds");
    assert!(output.text().contains("upstream_truncated") && !output.text().contains("[DONE]"));
}

macro_rules! bodies {
    ($($name:ident: $body:literal => $expected:literal;)*) => {
        $(#[test] fn $name() {
            let refusal = ChatRequest::from_slice($body.as_bytes()).expect_err("the body is refused");
            assert_eq!(refusal.code, Code::Malformed);
            assert!(refusal.message.contains($expected), "{}", refusal.message);
            assert!(error_body(&refusal).contains("\"run\":\"not_run\""));
        })*
    };
}

bodies! {
    no_json: "{" => "body";
    a_list: "[]" => "body";
    no_model: r#"{"messages":[{"role":"user"}]}"# => "model";
    no_messages: r#"{"model":"m"}"# => "messages";
    empty_messages: r#"{"model":"m","messages":[]}"# => "messages";
    no_role: r#"{"model":"m","messages":[{"role":"u"},{}]}"# => "messages[1].role";
    a_stream_of_text: r#"{"model":"m","messages":[{"role":"u"}],"stream":"yes"}"# => "stream";
    two_choices: r#"{"model":"m","messages":[{"role":"u"}],"n":2}"# => "n: expected 1";
    no_tokens: r#"{"model":"m","messages":[{"role":"u"}],"max_tokens":0}"# => "max_tokens";
}

macro_rules! headers {
    ($($name:ident: $header:literal = $value:expr => $valid:literal;)*) => {
        $(#[test] fn $name() {
            let value: String = $value;
            let metadata = RequestMetadata::from_headers(|name| (name == $header).then_some(value.as_str()));
            assert_eq!(metadata.is_ok(), $valid, "{metadata:?}");
            if let Err(refusal) = metadata {
                assert!(refusal.message.contains($header), "{}", refusal.message);
            }
        })*
    };
}

headers! {
    a_deadline: "X-Ivyweir-Deadline-Ms" = "600000".into() => true;
    no_time: "X-Ivyweir-Deadline-Ms" = "0".into() => false;
    too_much_time: "X-Ivyweir-Deadline-Ms" = "600001".into() => false;
    a_priority: "X-Ivyweir-Priority" = "9".into() => true;
    too_urgent: "X-Ivyweir-Priority" = "10".into() => false;
    not_repeatable: "X-Ivyweir-Repeatable" = "no".into() => true;
    perhaps_repeatable: "X-Ivyweir-Repeatable" = "maybe".into() => false;
    an_empty_key: "Idempotency-Key" = String::new() => false;
    a_long_key: "Idempotency-Key" = "k".repeat(255) => true;
    too_long_a_key: "Idempotency-Key" = "k".repeat(256) => false;
    a_key_with_a_line_feed: "Idempotency-Key" = "a\nb".into() => false;
    a_class_with_a_slash: "X-Ivyweir-Class" = "a/b".into() => false;
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn any_body_is_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _read_or_refused = ChatRequest::from_slice(&bytes);
    }

    #[test]
    fn any_header_is_read_or_refused(value in ".{0,300}") {
        let _read_or_refused = RequestMetadata::from_headers(|_| Some(value.as_str()));
    }
}
