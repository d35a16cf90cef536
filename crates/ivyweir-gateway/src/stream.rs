//! Relays a stream event by event, and resumes it at another upstream if it breaks off.
//!
//! Only whole events are passed on, so a caller that received part of a stream can resume it too.

mod ahead;
mod resume;
mod source;

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Response, Version, header};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::answer_end::BreakCause;
use ivyweir_policy::gateway::canary::{AnswerSample, Span};
use ivyweir_policy::gateway::event_stream::{StreamPosition, events};
use ivyweir_policy::gateway::promise::SendLedger;
use ivyweir_policy::gateway::send_count::SendCount;
use ivyweir_policy::gateway::site::RouteKind;
use serde_json::json;
use tokio::task::yield_now;
use tokio::time::timeout_at;

use crate::answer_end;
use crate::attempt::Reply;
use crate::caller_io::CallerConnection;
use crate::canary::record_sample;
use crate::job::{Job, strip_hop_by_hop};
use crate::log::Trace;
use crate::relay_buffer::{BodyRead, RelayBuffer};
use crate::response::ResponseBody;
use crate::retry::RetryState;
use crate::state::{ActiveRequest, Gateway};

use self::source::Source;

/// Smallest number of intervals between events from which their mean is used.
const MIN_PACE_INTERVALS: u32 = 2;
/// Number of events after which the pace of a stream is first sampled, without waiting for its end, which a slow
/// stream reaches late.
const PACE_SAMPLE_EVENTS: u32 = 7;
/// Number of events after which the pace is sampled again. Over this many events, prefills of other prompts on a busy
/// engine have little effect: in a separate run with a slow version, all its streams were over the limit by their end,
/// and 12 % of those of the old version.
const LONG_PACE_SAMPLE_EVENTS: u32 = 24;

/// Time without data after which a stream is resumed at another upstream, as a multiple of the target for the longest
/// gap between events. The response is late by then, and a caller gives up some time later.
const STALL_TIMEOUT_GAPS: u64 = 2;

/// Starts to relay a stream; `attempts` are those of the request so far.
pub fn start(
    gateway: &Arc<Gateway>,
    job: Arc<Job>,
    reply: Reply,
    model: usize,
    attempts: &RetryState,
    trace: Trace,
    active: ActiveRequest,
) -> Response<ResponseBody> {
    let (source, mut head) = Source::new(gateway, reply);
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    // The version of the upstream decides nothing about the caller's connection.
    head.version = Version::HTTP_11;
    let unframed = UnframedAnswer::begin(&job);
    let buffer = Arc::new(job.open_buffer(&gateway.relay_buffers));
    let stream = Stream {
        gateway: gateway.clone(),
        buffer: buffer.clone(),
        position: StreamPosition::after(job.metadata.last_event_id),
        job,
        source,
        first_event_ms: 0,
        last_event_ms: 0,
        longest_pause_ms: 0,
        model,
        sends: attempts.sends.clone(),
        tried: attempts.tried.clone(),
        ledger: attempts.ledger.clone(),
        trace,
        paused_ms: 0,
        ended: false,
    };
    if gateway.features.reads_ahead {
        let body = ahead::relay_ahead(stream, buffer, active, unframed);
        return Response::from_parts(head, body);
    }
    let state = (stream, active, unframed);
    let frames = unfold(state, |(mut stream, active, unframed)| async move {
        let Some(frame) = stream.next().await else {
            unframed.complete();
            return None;
        };
        Some((frame, (stream, active, unframed)))
    });
    Response::from_parts(head, StreamBody::new(Box::pin(frames)).boxed_unsync())
}

/// A stream whose caller knows of no chunks, so that only the end of the connection shows the end of the answer.
struct UnframedAnswer {
    caller: Option<Arc<CallerConnection>>,
}

impl UnframedAnswer {
    /// Lets the caller's connection end with a reset until the answer is complete, if it is unframed.
    fn begin(job: &Job) -> Self {
        let is_unframed = job.head.version < Version::HTTP_11;
        let caller = job.caller.clone().filter(|_| is_unframed);
        if let Some(caller) = &caller {
            caller.begin_unframed();
        }
        Self { caller }
    }

    /// Lets the caller's connection end as usual.
    fn complete(&self) {
        if let Some(caller) = &self.caller {
            caller.complete_unframed();
        }
    }
}

/// A stream that is being relayed to the caller.
struct Stream {
    gateway: Arc<Gateway>,
    job: Arc<Job>,
    source: Source,
    /// Counts the bytes held for the caller.
    buffer: Arc<RelayBuffer>,
    /// What the caller has received.
    position: StreamPosition,
    first_event_ms: u64,
    last_event_ms: u64,
    longest_pause_ms: u64,
    model: usize,
    sends: SendCount,
    tried: Vec<Name>,
    ledger: SendLedger,
    trace: Trace,
    /// Time during which the stream was not read because its buffer was full.
    paused_ms: u64,
    ended: bool,
}

/// Result of a read from the upstream.
enum ReadResult {
    Events(Bytes),
    Partial,
    /// Data has arrived, but there is no room for it.
    NoRoom,
    End,
    Broke(String),
    Stalled,
    DeadlineExceeded,
}

impl Stream {
    /// Returns the next bytes for the caller: `None` at the end, an error if the stream is aborted.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, io::Error>> {
        if self.ended {
            return None;
        }
        loop {
            if let Err(why) = self.wait_for_room().await {
                return Some(Err(self.abort(why).await));
            }
            match self.read().await {
                ReadResult::Events(events) => return Some(Ok(Frame::data(self.deliver(events)))),
                ReadResult::Partial | ReadResult::NoRoom => {}
                ReadResult::End => match self.check_end().await {
                    Ok(()) => {
                        self.finish();
                        if self.source.partial.is_empty() {
                            return None;
                        }
                        let rest = self.source.partial.split().freeze();
                        return Some(Ok(Frame::data(self.deliver(rest))));
                    }
                    Err(cause) => {
                        if !self.resume_after_break(cause.text(), true).await {
                            return Some(Err(self.abort(cause.text()).await));
                        }
                    }
                },
                ReadResult::Broke(error) => {
                    if !self.resume_after_break(&error, false).await {
                        return Some(Err(self.abort("upstream connection broke").await));
                    }
                }
                ReadResult::Stalled => {
                    self.record_stall();
                    // Does not wait for a free upstream, as the source may continue by itself in the meantime.
                    self.source.ignores_stalls = !self.resume(0).await;
                }
                ReadResult::DeadlineExceeded => {
                    return Some(Err(self.abort("deadline exceeded").await));
                }
            }
        }
    }

    /// Checks that the body of the source, which was read to its end, is the complete rest of the stream.
    async fn check_end(&mut self) -> Result<(), BreakCause> {
        let source = &self.source;
        let is_event_open = source.is_event_open();
        let trace = &mut self.trace;
        answer_end::check(
            &self.gateway,
            &source.in_flight,
            source.framing,
            is_event_open,
            trace,
        )
        .await
    }

    /// Reads from the upstream until data, its end, an error, a stall or the deadline.
    async fn read(&mut self) -> ReadResult {
        let deadline_ms = self.read_deadline_ms();
        let until_ms = self.stall_at_ms().unwrap_or(deadline_ms).min(deadline_ms);
        let until = self.gateway.clock.instant(until_ms);
        let may_resume = !self.source.ignores_stalls && self.may_resume();
        let source = &mut self.source;
        let read = tokio::select! {
            biased;
            read = timeout_at(until, self.buffer.next_frame(&mut source.body)) => read,
            () = source.replaced.replaced(&self.gateway) => {
                return ReadResult::Broke("upstream was replaced by another incarnation".into());
            }
            () = source.path.hangs(&self.gateway), if may_resume => return ReadResult::Stalled,
        };
        if read.is_ok() {
            self.source.last_read_ms = self.gateway.clock.now_ms();
            self.source.in_flight.record_contact();
        }
        match read {
            Err(_) if until_ms < deadline_ms => ReadResult::Stalled,
            Err(_) => ReadResult::DeadlineExceeded,
            Ok(BodyRead::NoRoom) => ReadResult::NoRoom,
            Ok(BodyRead::End) => ReadResult::End,
            Ok(BodyRead::Frame(Err(e))) => ReadResult::Broke(e.to_string()),
            Ok(BodyRead::Frame(Ok(frame))) => match frame.into_data() {
                Ok(data) => {
                    self.buffer.receive(data.len());
                    let Some(whole) = self.source.receive(data) else {
                        return ReadResult::Partial;
                    };
                    self.record_events(&whole);
                    ReadResult::Events(whole)
                }
                // Trailers are not relayed.
                Err(_) => ReadResult::Partial,
            },
        }
    }

    /// Returns the time at which the source counts as stalled; `None` if the stream may not be resumed elsewhere.
    fn stall_at_ms(&self) -> Option<u64> {
        let RouteKind::Stream { gap_aim_ms, .. } = self.job.route.kind else {
            return None;
        };
        let may_resume = !self.source.ignores_stalls && self.may_resume();
        may_resume.then_some(self.source.last_read_ms + STALL_TIMEOUT_GAPS * gap_aim_ms)
    }

    /// Whether the stream may be resumed at another upstream.
    fn may_resume(&self) -> bool {
        let is_resumable = matches!(
            self.job.route.kind,
            RouteKind::Stream {
                resumable: true,
                ..
            }
        );
        let is_resumable = is_resumable && self.position.can_be_resumed();
        is_resumable && !self.sends.is_used_up()
    }

    /// Returns the time until which the caller is expected to wait for the next event.
    fn resume_until_ms(&self) -> u64 {
        let RouteKind::Stream { gap_aim_ms, .. } = self.job.route.kind else {
            return 0;
        };
        let resume_until_ms = self.source.last_read_ms + STALL_TIMEOUT_GAPS * gap_aim_ms;
        resume_until_ms.min(self.job.deadline_ms)
    }

    /// Records what is passed on to the caller.
    fn record_events(&mut self, whole: &[u8]) {
        if !self.source.has_events() {
            self.position.record_other_bytes();
            return;
        }
        for event in events(whole) {
            if !self.position.record(event) {
                continue;
            }
            self.record_event_time();
            match self.position.events() {
                PACE_SAMPLE_EVENTS => self.record_pace(self.pace_ms(), Span::Start),
                LONG_PACE_SAMPLE_EVENTS => self.record_pace(self.pace_ms(), Span::Long),
                _ => {}
            }
        }
    }

    /// Records that an event was passed on now.
    fn record_event_time(&mut self) {
        let now_ms = self.gateway.clock.now_ms();
        if self.position.events() == 1 {
            self.first_event_ms = now_ms;
        } else {
            let interval_ms = now_ms.saturating_sub(self.last_event_ms);
            self.longest_pause_ms = self.longest_pause_ms.max(interval_ms);
        }
        self.last_event_ms = now_ms;
    }

    /// Records that the stream ended normally.
    fn finish(&mut self) {
        self.ended = true;
        self.source.complete();
        let pace_ms = self.pace_ms();
        // The pace of a longer stream was sampled before.
        let is_unsampled = self.position.events() < PACE_SAMPLE_EVENTS;
        self.record_pace(pace_ms.filter(|_| is_unsampled), Span::Start);
        let detail = json!({
            "upstream": self.source.in_flight.place(), "events": self.position.events(), "pace_ms": pace_ms,
            "longest_pause_ms": self.longest_pause_ms,
            "framing": self.source.framing.name(),
            "first_after_ms": self.first_event_ms.saturating_sub(self.job.arrived_ms),
        });
        self.trace.step("stream_ended", detail);
    }

    /// Returns the mean interval between events so far, if there were enough of them. There is none for a stream that was
    /// paused: the upstream went on meanwhile, so the events after a pause arrive faster than it generates them.
    fn pace_ms(&self) -> Option<f64> {
        let span_ms = self.last_event_ms.saturating_sub(self.first_event_ms);
        let intervals = self.position.events().saturating_sub(1);
        let is_known = self.paused_ms == 0 && intervals >= MIN_PACE_INTERVALS;
        is_known.then(|| span_ms as f64 / f64::from(intervals))
    }

    /// Records the pace of the stream for the version of its upstream.
    fn record_pace(&self, pace_ms: Option<f64>, span: Span) {
        let Some(upstream) = self.source.in_flight.upstream() else {
            return;
        };
        let sample = AnswerSample {
            upstream: &upstream.id,
            failed: false,
            is_final: false,
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
        record_sample(&self.gateway, upstream, &sample);
    }

    /// Aborts the stream. The returned error makes the caller's connection break off.
    async fn abort(&mut self, why: &'static str) -> io::Error {
        self.ended = true;
        write_before_error().await;
        let detail = json!({"reason": why, "behind_event": self.position.last_id()});
        self.trace.fail("stream_broken_off", detail);
        io::Error::other(why)
    }
}

/// Lets the HTTP server write the head and the frames that it has, which it drops when the body fails.
async fn write_before_error() {
    yield_now().await;
}
