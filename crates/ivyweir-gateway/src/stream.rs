//! Passes a stream on event by event, and goes on at another upstream where it breaks off.

mod resume;

use std::io;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Response, header};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::canary::{AnswerSample, Span};
use ivyweir_policy::gateway::site::RouteKind;
use serde_json::json;
use tokio::time::timeout_at;

use crate::attempt::{InFlightRequest, Reply};
use crate::canary::record_sample;
use crate::job::{Job, strip_hop_by_hop};
use crate::log::Trace;
use crate::response::ResponseBody;
use crate::state::{Active, Gateway, ReplacedWatch};
use crate::tries::Tries;

/// Pauses between events from which their mean says something.
const PACE_PAUSES: u32 = 2;
/// Event at which a stream's pace is judged: a slow stream takes long to end.
const JUDGED_AT_EVENTS: u32 = 7;
/// Event at which it is judged once more: over so many, a busy engine's other prompts count little.
/// On an own day with a slow version all its streams were over the limit by their end, and 12 % of
/// the old one's.
const JUDGED_LONG_AT_EVENTS: u32 = 24;

/// How many times the longest pause that is still in time a stream may be silent before another upstream is asked to go
/// on: its answer is late by then, and a caller gives it up some time later.
const SILENT_GAPS: u64 = 2;

/// Starts to pass a stream on; `tries` are those of the request so far.
pub fn start(
    gateway: &Arc<Gateway>,
    job: Arc<Job>,
    reply: Reply,
    model: usize,
    tries: &Tries,
    trace: Trace,
    active: Active,
) -> Response<ResponseBody> {
    let Reply {
        response,
        in_flight,
        keep_alive_ms,
        marks,
        is_framed,
        ..
    } = reply;
    let (mut head, body) = response.into_parts();
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let last_event_id = job.envelope.last_event_id;
    let stream = Stream {
        gateway: gateway.clone(),
        job,
        source: Source {
            replaced: gateway.watch_replaced(&in_flight.upstream.id),
            body,
            in_flight,
            keep_alive_ms,
            is_framed,
            running: marks.running(),
            heard_ms: gateway.clock.now_ms(),
            may_be_silent: false,
        },
        partial: BytesMut::new(),
        last_event_id,
        events: 0,
        first_event_ms: 0,
        last_event_ms: 0,
        longest_pause_ms: 0,
        model,
        sent: tries.sent,
        tried: tries.tried.clone(),
        trace,
        ended: false,
        _active: active,
    };
    let frames = unfold(stream, |mut stream| async move {
        let frame = stream.next().await?;
        Some((frame, stream))
    });
    Response::from_parts(head, StreamBody::new(Box::pin(frames)).boxed_unsync())
}

/// Where the stream comes from for now.
struct Source {
    body: Incoming,
    in_flight: InFlightRequest,
    /// Whether another incarnation takes its place.
    replaced: ReplacedWatch,
    keep_alive_ms: Option<u64>,
    /// Whether its end is told by more than the end of the connection.
    is_framed: bool,
    /// Requests that it ran when its answer began.
    running: u32,
    /// When it last sent anything.
    heard_ms: u64,
    /// Whether its silence is borne: no other upstream took the stream over.
    may_be_silent: bool,
}

/// A stream on its way to the caller.
struct Stream {
    gateway: Arc<Gateway>,
    job: Arc<Job>,
    source: Source,
    /// Bytes behind the last whole event.
    partial: BytesMut,
    last_event_id: Option<u64>,
    events: u32,
    first_event_ms: u64,
    last_event_ms: u64,
    longest_pause_ms: u64,
    model: usize,
    sent: u32,
    tried: Vec<Name>,
    trace: Trace,
    ended: bool,
    _active: Active,
}

/// What the upstream sent next.
enum Next {
    Events(Bytes),
    Partial,
    End,
    Broke(String),
    Silent,
    Late,
}

impl Stream {
    /// The next bytes for the caller; none at the end, an error where the answer breaks off.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, io::Error>> {
        if self.ended {
            return None;
        }
        loop {
            match self.read().await {
                Next::Events(events) => return Some(Ok(Frame::data(events))),
                Next::Partial => {}
                Next::End => {
                    self.finish();
                    if self.partial.is_empty() {
                        return None;
                    }
                    return Some(Ok(Frame::data(self.partial.split().freeze())));
                }
                Next::Broke(error) => {
                    self.broke(&error);
                    let upstream = self.source.in_flight.upstream.id.clone();
                    self.gateway.until_looked(&upstream).await;
                    if !self.resume(self.patient_until_ms()).await {
                        return Some(Err(self.break_off("stream broke off")));
                    }
                }
                Next::Silent => {
                    self.fell_silent();
                    // The source may go on by itself meanwhile, so nothing is waited for.
                    self.source.may_be_silent = !self.resume(0).await;
                }
                Next::Late => return Some(Err(self.break_off("time is up"))),
            }
        }
    }

    /// Waits for what the upstream sends next.
    async fn read(&mut self) -> Next {
        let deadline_ms = self.job.deadline_ms;
        let until_ms = self.silent_at_ms().unwrap_or(deadline_ms).min(deadline_ms);
        let until = self.gateway.clock.instant(until_ms);
        let source = &mut self.source;
        let read = tokio::select! {
            biased;
            read = timeout_at(until, source.body.frame()) => read,
            () = source.replaced.replaced(&self.gateway) => {
                return Next::Broke("another incarnation took the upstream's place".into());
            }
        };
        if read.is_ok() {
            self.source.heard_ms = self.gateway.clock.now_ms();
        }
        match read {
            Err(_) if until_ms < deadline_ms => Next::Silent,
            Err(_) => Next::Late,
            Ok(None) => Next::End,
            Ok(Some(Err(e))) => Next::Broke(e.to_string()),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => self.take_events(data),
                // Trailers are not passed on.
                Err(_) => Next::Partial,
            },
        }
    }

    /// When the source's silence is too long, where another upstream may go on in its place.
    fn silent_at_ms(&self) -> Option<u64> {
        let RouteKind::Stream {
            resumable: true,
            gap_aim_ms,
        } = self.job.route.kind
        else {
            return None;
        };
        let has_another = !self.source.may_be_silent && self.sent < self.job.route.max_attempts;
        has_another.then_some(self.source.heard_ms + SILENT_GAPS * gap_aim_ms)
    }

    /// Until when its caller waits for the next event rather than give the stream up.
    fn patient_until_ms(&self) -> u64 {
        let RouteKind::Stream { gap_aim_ms, .. } = self.job.route.kind else {
            return 0;
        };
        let patient_until_ms = self.source.heard_ms + SILENT_GAPS * gap_aim_ms;
        patient_until_ms.min(self.job.deadline_ms)
    }

    /// Cuts whole events off what arrived.
    fn take_events(&mut self, data: Bytes) -> Next {
        let whole = if self.partial.is_empty() && data.ends_with(b"\n\n") {
            data
        } else {
            self.partial.extend_from_slice(&data);
            let Some(end) = last_event_end(&self.partial) else {
                return Next::Partial;
            };
            self.partial.split_to(end).freeze()
        };
        let now_ms = self.gateway.clock.now_ms();
        if self.events == 0 {
            self.first_event_ms = now_ms;
        } else {
            let pause_ms = now_ms.saturating_sub(self.last_event_ms);
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.last_event_ms = now_ms;
        for id in event_ids(&whole) {
            self.events += 1;
            self.last_event_id = Some(id);
            match self.events {
                JUDGED_AT_EVENTS => self.record_sample(false, self.pace_ms(), Span::Start),
                JUDGED_LONG_AT_EVENTS => self.record_sample(false, self.pace_ms(), Span::Long),
                _ => {}
            }
        }
        Next::Events(whole)
    }

    /// Takes in that the stream ended as it should.
    fn finish(&mut self) {
        self.ended = true;
        self.source.in_flight.complete(self.source.is_framed);
        self.source
            .in_flight
            .release_connection(self.source.keep_alive_ms);
        let upstream = self.source.in_flight.upstream.clone();
        let pace_ms = self.pace_ms();
        // The pace of a longer stream was judged on its way.
        let is_timed = self.events < JUDGED_AT_EVENTS;
        self.record_sample(true, pace_ms.filter(|_| is_timed), Span::Start);
        let detail = json!({
            "upstream": upstream.id, "events": self.events, "pace_ms": pace_ms,
            "longest_pause_ms": self.longest_pause_ms,
            "first_after_ms": self.first_event_ms.saturating_sub(self.job.arrived_ms),
        });
        self.trace.step("stream_ended", detail);
    }

    /// Mean pause between events so far, where there were enough.
    fn pace_ms(&self) -> Option<f64> {
        let span_ms = self.last_event_ms.saturating_sub(self.first_event_ms);
        let pauses = self.events.saturating_sub(1);
        (pauses >= PACE_PAUSES).then(|| span_ms as f64 / f64::from(pauses))
    }

    /// Adds what was seen of the stream to what is known of its version.
    fn record_sample(&self, is_final: bool, pace_ms: Option<f64>, span: Span) {
        let upstream = &self.source.in_flight.upstream;
        let evidence = AnswerSample {
            upstream: &upstream.id,
            failed: false,
            is_final,
            lane: self.job.lane(self.model),
            pace_ms,
            span,
            running: self.source.running,
            queue: 0.0,
            age_ms: self
                .gateway
                .clock
                .now_ms()
                .saturating_sub(self.job.arrived_ms),
        };
        record_sample(&self.gateway, &self.job, upstream, &evidence);
    }

    /// Gives the stream up; the caller sees it break off.
    fn break_off(&mut self, why: &'static str) -> io::Error {
        self.ended = true;
        let detail = json!({"reason": why, "behind_event": self.last_event_id});
        self.trace.fail("stream_broken_off", detail);
        io::Error::other(why)
    }
}

/// Where the last whole event ends: behind an empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(at + 2)
}

/// Ids of events, in order.
fn event_ids(events: &[u8]) -> impl Iterator<Item = u64> {
    events.split(|byte| *byte == b'\n').filter_map(|line| {
        let id = line.strip_prefix(b"id:")?;
        std::str::from_utf8(id).ok()?.trim().parse().ok()
    })
}
