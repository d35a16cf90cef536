//! The response of an upstream, or of another box, from which a stream is read.

use bytes::{Bytes, BytesMut};
use hyper::body::Incoming;
use hyper::http::response::Parts;
use ivyweir_policy::gateway::answer_end::Framing;
use ivyweir_policy::gateway::event_stream::EventScanner;

use crate::answer_end;
use crate::attempt::Reply;
use crate::in_flight::InFlightRequest;
use crate::state::{Gateway, PathWatch, ReplacementWatch};

/// The upstream response that the stream is currently read from.
pub(super) struct Source {
    pub(super) body: Incoming,
    /// Finds the ends of events; `None` if the body is not a stream of events and is passed on as it is.
    pub(super) scanner: Option<EventScanner>,
    /// Bytes after the last complete event.
    pub(super) partial: BytesMut,
    pub(super) in_flight: InFlightRequest,
    /// Resolves when another incarnation replaces the upstream.
    pub(super) replaced: ReplacementWatch,
    /// Resolves when the path to the upstream is found to transfer no data.
    pub(super) path: PathWatch,
    pub(super) keep_alive_ms: Option<u64>,
    pub(super) framing: Framing,
    /// Number of requests that the upstream ran when its response began.
    pub(super) running: u32,
    /// Time at which data was last received.
    pub(super) last_read_ms: u64,
    /// Whether stalls are ignored, because no other upstream took over the stream.
    pub(super) ignores_stalls: bool,
}

impl Source {
    /// Makes a reply a source; returns the head of the response too.
    pub(super) fn new(gateway: &Gateway, reply: Reply) -> (Self, Parts) {
        let (head, body) = reply.response.into_parts();
        let is_event_stream = answer_end::is_event_stream(&head.headers);
        let source = Self {
            body,
            scanner: is_event_stream.then(EventScanner::default),
            partial: BytesMut::new(),
            replaced: gateway.watch_replacement(reply.in_flight.place()),
            path: gateway.watch_path(reply.in_flight.place()),
            in_flight: reply.in_flight,
            keep_alive_ms: reply.keep_alive_ms,
            framing: reply.framing,
            running: reply.metadata.running(),
            last_read_ms: gateway.clock.now_ms(),
            ignores_stalls: false,
        };
        (source, head)
    }

    /// Whether the body is a stream of events.
    pub(super) fn has_events(&self) -> bool {
        self.scanner.is_some()
    }

    /// Whether the bytes so far end inside an event.
    pub(super) fn is_event_open(&self) -> bool {
        let scanner = self.scanner.as_ref();
        scanner.is_some_and(EventScanner::is_event_open)
    }

    /// Adds received bytes; returns those that may be passed on, if there are any.
    pub(super) fn receive(&mut self, mut data: Bytes) -> Option<Bytes> {
        let Some(scanner) = &mut self.scanner else {
            return Some(data);
        };
        let Some(end) = scanner.scan(&data) else {
            self.partial.extend_from_slice(&data);
            return None;
        };
        let rest = data.split_off(end);
        let whole = if self.partial.is_empty() {
            data
        } else {
            self.partial.extend_from_slice(&data);
            self.partial.split().freeze()
        };
        self.partial.extend_from_slice(&rest);
        Some(whole)
    }

    /// Records that the stream broke off; `has_ended` if the body was read to its end.
    pub(super) fn record_break(&mut self, has_ended: bool) {
        if has_ended && self.framing != Framing::Connection {
            self.in_flight.record_early_end();
        } else {
            self.in_flight.record_broken_connection();
        }
    }

    /// Records that the body is complete, and lets the connection be used again unless it ended with the body.
    pub(super) fn complete(&mut self) {
        let is_framed = self.framing != Framing::Connection;
        self.in_flight.complete(is_framed);
        let keep_alive_ms = self.keep_alive_ms.filter(|_| is_framed);
        self.in_flight.release_connection(keep_alive_ms);
    }
}
