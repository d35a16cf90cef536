//! Streams whose events have no end: what their reader has to keep is bounded.

use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use ivyweir_engine::{ChunkStream, CompletionRequest, Fault};
use rstest::rstest;
use serde_json::Map;

/// Bytes of an endless stream.
const ENDLESS_BYTES: usize = 64 << 20;

/// Repeats one event up to [`ENDLESS_BYTES`], behind others.
struct Events {
    first: Vec<u8>,
    repeated: Vec<u8>,
    position: usize,
    sent_bytes: Arc<AtomicUsize>,
}

impl Read for Events {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let sent = self.sent_bytes.load(Ordering::Relaxed);
        if sent >= ENDLESS_BYTES {
            return Ok(0);
        }
        let event = if self.first.is_empty() {
            &self.repeated
        } else {
            &self.first
        };
        let length = buffer.len().min(event.len() - self.position);
        buffer[..length].copy_from_slice(&event[self.position..][..length]);
        self.position += length;
        if self.position == event.len() {
            self.position = 0;
            self.first.clear();
        }
        self.sent_bytes.fetch_add(length, Ordering::Relaxed);
        Ok(length)
    }
}

fn event(choices: &str) -> Vec<u8> {
    let pad = "p".repeat(1 << 10);
    format!("data: {{\"id\":\"chatcmpl-r-1\",\"model\":\"m@1\",\"pad\":\"{pad}\",\"choices\":[{choices}]}}\n\n")
        .into_bytes()
}

/// Reads a stream and keeps, as its caller has to, the text and the events that close it.
fn read(first: Vec<u8>, repeated: Vec<u8>) -> (usize, Fault) {
    let sent_bytes = Arc::new(AtomicUsize::new(0));
    let events = Events {
        first,
        repeated,
        position: 0,
        sent_bytes: Arc::clone(&sent_bytes),
    };
    let request = CompletionRequest::new("m@1", "r-1", Map::new());
    let error = ChunkStream::new(Box::new(events), request)
        .find_map(Result::err)
        .expect("a stream without end is an error");
    (sent_bytes.load(Ordering::Relaxed), error.fault)
}

const TEXT: &str = r#"{"delta":{"content":"a word"},"finish_reason":null}"#;
const FINISH: &str = r#"{"delta":{},"finish_reason":"stop"}"#;

/// Guards against events that are held until the request is billed, or text that is kept to resume the stream, without
/// a limit.
#[rstest]
#[case::finish_reasons("", FINISH)]
#[case::events_without_a_choice(TEXT, "")]
#[case::events_without_a_choice_behind_the_finish_reason(FINISH, "")]
fn closing_events_without_end_are_given_up(#[case] first: &str, #[case] repeated: &str) {
    let (read_bytes, fault) = read(event(first), event(repeated));
    assert_eq!(fault, Fault::Truncated);
    assert!(read_bytes < 2 << 20, "{read_bytes} bytes were read");
}

/// Guards against text without end, which is kept to resume the stream elsewhere.
#[test]
fn text_without_end_is_given_up() {
    let long = format!(
        r#"{{"delta":{{"content":"{}"}},"finish_reason":null}}"#,
        "t".repeat(64 << 10)
    );
    let (read_bytes, fault) = read(event(TEXT), event(&long));
    assert_eq!(fault, Fault::Truncated);
    assert!(read_bytes < 10 << 20, "{read_bytes} bytes were read");
}

/// Guards against a limit that ends a long stream of short events, of which nothing large is kept.
#[test]
fn a_long_stream_of_short_texts_is_read() {
    let (read_bytes, fault) = read(event(TEXT), event(TEXT));
    assert_eq!(fault, Fault::Truncated);
    assert!(read_bytes >= ENDLESS_BYTES, "{read_bytes} bytes were read");
}
