//! What the end of a body means, and where the events of a stream end.

use std::convert::Infallible;

use eventsource_stream::{Event as ParsedEvent, Eventsource};
use futures_util::{FutureExt, StreamExt, stream};
use ivyweir_policy::gateway::answer_end::{
    AnswerEnd, BreakCause, Framing, SourceEnd, UpstreamState,
};
use ivyweir_policy::gateway::event_stream::{EventScanner, StreamPosition, events};
use proptest::prelude::*;

macro_rules! ends {
    ($($name:ident: $framing:ident, event open $is_event_open:expr, $upstream:ident => $meaning:expr;)*) => {$(
        #[test]
        fn $name() {
            let end = SourceEnd {
                framing: Framing::$framing,
                is_event_open: $is_event_open,
                upstream: UpstreamState::$upstream,
            };
            assert_eq!(end.meaning(), $meaning);
        }
    )*};
}

const OPEN: AnswerEnd = AnswerEnd::Broken(BreakCause::EventOpen);
const GONE: AnswerEnd = AnswerEnd::Broken(BreakCause::UpstreamTerminated);

ends! {
    a_length_is_complete: Length, event open false, Unchecked => AnswerEnd::Complete;
    a_last_chunk_is_complete: Chunks, event open false, Unchecked => AnswerEnd::Complete;
    a_last_chunk_is_complete_though_its_upstream_terminated: Chunks, event open false, Terminated => AnswerEnd::Complete;
    an_open_event_is_broken_behind_a_length: Length, event open true, Running => OPEN;
    an_open_event_is_broken_behind_a_last_chunk: Chunks, event open true, Unchecked => OPEN;
    an_open_event_is_broken_behind_a_connection: Connection, event open true, Running => OPEN;
    an_open_event_is_broken_with_its_upstream: Connection, event open true, Terminated => OPEN;
    a_connection_alone_does_not_tell: Connection, event open false, Unchecked => AnswerEnd::Unknown;
    a_connection_of_a_running_upstream_is_complete: Connection, event open false, Running => AnswerEnd::Complete;
    a_connection_that_ends_with_its_upstream_is_broken: Connection, event open false, Terminated => GONE;
}

/// Scans a body in one piece; returns the length of what may be passed on, and whether an event is open at the end.
fn scan(body: &[u8]) -> (usize, bool) {
    let mut scanner = EventScanner::default();
    let whole = scanner.scan(body);
    (whole.unwrap_or(0), scanner.is_event_open())
}

macro_rules! bodies {
    ($($name:ident: $body:expr => passes on $whole:expr, event open $is_open:expr;)*) => {$(
        #[test]
        fn $name() {
            let body: &str = $body;
            assert_eq!(scan(body.as_bytes()), ($whole.len(), $is_open));
            assert!(body.starts_with($whole));
        }
    )*};
}

bodies! {
    nothing_is_whole: "" => passes on "", event open false;
    lf: "data: a\n\ndata: b\n" => passes on "data: a\n\n", event open true;
    crlf: "data: a\r\n\r\ndata: b\r\n" => passes on "data: a\r\n\r\n", event open true;
    cr: "data: a\r\rdata: b\r" => passes on "data: a\r\r", event open true;
    crlf_whose_last_byte_is_to_come: "data: a\r\n\r" => passes on "data: a\r\n\r", event open false;
    a_line_of_lf_and_one_of_crlf: "data: a\n\r\n" => passes on "data: a\n\r\n", event open false;
    a_line_of_crlf_and_one_of_lf: "data: a\r\n\n" => passes on "data: a\r\n\n", event open false;
    a_line_of_cr_and_one_of_crlf: "data: a\r\r\n" => passes on "data: a\r\r\n", event open false;
    a_crlf_is_one_line_end: "data: a\r\ndata: b" => passes on "", event open true;
    stray_empty_lines: "\n\r\n\r\ndata: a\n\n\n\n" => passes on "\n\r\n\r\ndata: a\n\n\n\n", event open false;
    a_comment_between_events: "data: a\n\n: ping\n" => passes on "data: a\n\n: ping\n", event open false;
    a_comment_with_an_empty_line: ": ping\r\n\r\n" => passes on ": ping\r\n\r\n", event open false;
    part_of_a_comment: "data: a\n\n: pi" => passes on "data: a\n\n", event open false;
    a_comment_inside_an_event: "data: a\n: ping\n" => passes on "", event open true;
    an_event_without_data: "retry: 10\n" => passes on "", event open true;
    part_of_a_field_name: "data: a\n\nda" => passes on "data: a\n\n", event open true;
}

/// Returns the events that another parser finds. It waits for the byte behind a CR, so a CR at the end is given the LF
/// that would end the same line.
fn parse(body: &[u8]) -> Vec<ParsedEvent> {
    let mut body = body.to_vec();
    if body.ends_with(b"\r") {
        body.push(b'\n');
    }
    let pieces = stream::iter([Ok::<_, Infallible>(body)]);
    let parsed = pieces.eventsource().map(|event| event.expect("valid text"));
    let parsed = parsed.collect::<Vec<_>>().now_or_never();
    parsed.expect("all pieces are there")
}

fn line() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        3 => Just(""),
        2 => Just("data: x"),
        1 => Just("data"),
        1 => Just(": comment"),
        1 => Just("id: 7"),
        1 => Just("id: seven"),
        1 => Just("retry: 10"),
        1 => Just("other: x"),
    ];
    let end = prop_oneof![Just("\n"), Just("\r\n"), Just("\r")];
    (line, end).prop_map(|(line, end)| format!("{line}{end}"))
}

/// A body that may end anywhere, and lengths of its pieces.
fn body() -> impl Strategy<Value = (Vec<u8>, Vec<usize>)> {
    let lines = proptest::collection::vec(line(), 0..24);
    let pieces = proptest::collection::vec(1..9_usize, 1..9);
    (lines, any::<prop::sample::Index>(), pieces).prop_map(|(lines, cut, pieces)| {
        let mut body = lines.concat().into_bytes();
        body.truncate(cut.index(body.len() + 1));
        (body, pieces)
    })
}

proptest! {
    /// Guards against events that are lost, doubled or torn where a body ends, however it is split.
    #[test]
    fn what_is_passed_on_has_all_whole_events_and_no_torn_one((body, pieces) in body()) {
        let mut scanner = EventScanner::default();
        let (mut begin, mut passed_on) = (0, 0);
        for length in pieces.iter().cycle() {
            let piece = &body[begin..body.len().min(begin + length)];
            if piece.is_empty() {
                break;
            }
            if let Some(whole) = scanner.scan(piece) {
                passed_on = begin + whole;
            }
            begin += piece.len();
        }
        prop_assert_eq!((passed_on, scanner.is_event_open()), scan(&body));
        let whole = &body[..passed_on];
        prop_assert_eq!(parse(whole), parse(&body));
        // An empty line would end an open event, and only then add one.
        let ended = [&body[..], b"\n\n"].concat();
        if parse(&ended).len() > parse(&body).len() {
            prop_assert!(scanner.is_event_open());
        }
        let with_data = events(whole).filter(|event| event.has_data).count();
        prop_assert_eq!(with_data, parse(whole).len());
    }
}

macro_rules! positions {
    ($($name:ident: $passed_on:expr => last id $last_id:expr, events $events:expr, can be resumed $can_be_resumed:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut position = StreamPosition::after(Some(2));
            for event in events($passed_on.as_bytes()) {
                position.record(event);
            }
            assert_eq!(position.last_id(), $last_id);
            assert_eq!(position.events(), $events);
            assert_eq!(position.can_be_resumed(), $can_be_resumed);
        }
    )*};
}

positions! {
    no_event: "" => last id Some(2), events 0, can be resumed true;
    only_comments: ": ping\n\n: pong\r\r" => last id Some(2), events 0, can be resumed true;
    an_event_with_an_id: "id: 3\ndata: a\n\n" => last id Some(3), events 1, can be resumed true;
    a_cr_event_with_an_id: "data: a\rid: 3\r\r" => last id Some(3), events 1, can be resumed true;
    an_event_without_an_id: "id: 3\ndata: a\n\ndata: b\n\n" => last id Some(3), events 2, can be resumed false;
    an_event_with_an_id_behind_one_without: "data: a\n\nid: 4\ndata: b\n\n" => last id Some(4), events 2, can be resumed true;
    an_event_whose_id_is_no_number: "id: x\ndata: a\n\n" => last id Some(2), events 1, can be resumed false;
    an_event_without_data_and_id: "retry: 10\n\n" => last id Some(2), events 0, can be resumed true;
}

/// Guards against a scan that begins anew with each piece.
#[test]
fn a_large_event_in_many_pieces_is_scanned_once() {
    let mut scanner = EventScanner::default();
    assert_eq!(scanner.scan(b"data: "), None);
    for _ in 0..100_000 {
        assert_eq!(scanner.scan(b"x"), None);
    }
    assert_eq!(scanner.scan(b"\n\n"), Some(2));
    assert!(!scanner.is_event_open());
}
