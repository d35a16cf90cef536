//! Streamed chat completions: one event per token, resumed on another engine if one fails.

use std::time::Duration;

use ivyweir_caller::{ChatRequest, EventWriter, Header, Incoming, Reply};
use ivyweir_engine::{CallError, Chunk, Fault, Usage};
use ivyweir_policy::billing::Call;
use ivyweir_policy::{Refusal, VersionRef};
use serde_json::{Map, Value};

use crate::context::Context;
use crate::dispatcher::Reservation;
use crate::engine_call::{self, Attempts};
use crate::route::{self, Route};

/// State of one streamed answer.
struct ChatStream<'c, 'n> {
    context: &'c Context<'n>,
    request: &'c ChatRequest,
    version: VersionRef,
    prefix: u64,
    /// The connection until the response head is sent; then `events` replaces it.
    incoming: Option<Incoming>,
    events: Option<EventWriter>,
    /// Text already sent to the caller.
    sent_text: String,
    /// Number of chunks already sent to the caller.
    sent_chunks: u64,
    /// Value of `sent_chunks` when the current engine call began.
    sent_chunks_before_call: u64,
    usage: Usage,
    /// Chunks from the finish reason on, held back until the request is billed.
    held_back_chunks: Vec<Map<String, Value>>,
}

/// Why a call ended before its stream was complete.
enum StreamError {
    Upstream(CallError),
    CallerGone,
}

/// Answers a request with a stream. Returns the outcome label for the request metric.
pub fn answer(context: &Context<'_>, request: &ChatRequest, incoming: Incoming) -> &'static str {
    let route = route::find(context, request);
    let route = route.and_then(|route| context.node.ledger.check_available().map(|()| route));
    match route {
        Ok(route) => ChatStream::new(context, request, &route, incoming).run(),
        Err(refusal) => {
            let _caller_gone = incoming.reply(Reply::from(&refusal));
            refusal.code.as_str()
        }
    }
}

impl<'c, 'n> ChatStream<'c, 'n> {
    fn new(
        context: &'c Context<'n>,
        request: &'c ChatRequest,
        route: &Route,
        incoming: Incoming,
    ) -> Self {
        Self {
            context,
            request,
            version: route.first().version.clone(),
            prefix: route.prefix,
            incoming: Some(incoming),
            events: None,
            sent_text: String::new(),
            sent_chunks: 0,
            sent_chunks_before_call: 0,
            usage: Usage::default(),
            held_back_chunks: Vec::new(),
        }
    }

    fn run(mut self) -> &'static str {
        let outcome = self.call_with_retries();
        let outcome = match outcome {
            Ok(()) => engine_call::bill(self.context, vec![self.charge()]).map_err(Some),
            Err(failure) => Err(failure),
        };
        match outcome {
            Ok(()) => self.finish(),
            Err(Some(refusal)) => self.fail(&refusal),
            Err(None) => "caller_gone",
        }
    }

    /// Calls engines until the stream is complete. The error is `None` if the caller is gone.
    fn call_with_retries(&mut self) -> Result<(), Option<Refusal>> {
        let mut attempts = Attempts::default();
        loop {
            let reservation = engine_call::reserve_upstream(
                self.context,
                &self.version,
                self.prefix,
                &mut attempts,
            )
            .map_err(Some)?;
            let mut observation =
                engine_call::observation(self.context, &self.version, &reservation);
            let called = self.call_once(&reservation);
            let fault = match &called {
                Ok(_) | Err(StreamError::CallerGone) => None,
                Err(StreamError::Upstream(error)) => Some(error.fault),
            };
            observation.failed = fault.is_some();
            engine_call::record_outcome(self.context, &observation, fault);
            let first_token_ms = called.as_ref().ok().copied();
            reservation.finish(
                engine_call::is_upstream_success(fault),
                first_token_ms,
                self.context.fleet_snapshot(),
            );
            match called {
                Ok(_) => return Ok(()),
                Err(StreamError::CallerGone) => return Err(None),
                Err(StreamError::Upstream(error)) if self.may_continue(&error, &attempts) => {}
                Err(StreamError::Upstream(error)) => {
                    return Err(Some(engine_call::refusal(self.context, &error)));
                }
            }
        }
    }

    /// Whether another engine may restart the stream, or resume it after the text already sent.
    fn may_continue(&self, error: &CallError, attempts: &Attempts) -> bool {
        let has_sent = self.sent_chunks > 0;
        if has_sent && !self.context.node.settings.policy.resume {
            return false;
        }
        let should_retry = engine_call::should_retry(self.context, error, attempts);
        if should_retry && has_sent {
            self.context.node.metrics.resumed_streams.add(1, &[]);
        }
        should_retry
    }

    /// Makes one call to one engine. Returns the time to its first token in milliseconds.
    fn call_once(&mut self, reservation: &Reservation<'_>) -> Result<u64, StreamError> {
        let started_ms = self.context.node.clock.now_ms();
        self.sent_chunks_before_call = self.sent_chunks;
        let completion =
            engine_call::completion(self.context, &self.remaining_request(), &self.version)
                .with_streaming()
                .with_partial_response(&self.sent_text);
        let timeout = Duration::from_millis(self.context.remaining_ms().max(1));
        let engine = &self.context.node.engine;
        let stream = engine.stream(&reservation.upstream.addr, &completion, timeout);
        let mut first_token_ms = None;
        for chunk in stream.map_err(StreamError::Upstream)? {
            let chunk = chunk.map_err(StreamError::Upstream)?;
            if self.context.remaining_ms() == 0 {
                let error = CallError::new(Fault::TimedOut, "deadline");
                return Err(StreamError::Upstream(error));
            }
            let now_ms = self.context.node.clock.now_ms();
            first_token_ms.get_or_insert(now_ms - started_ms);
            self.forward_chunk(chunk)?;
        }
        Ok(first_token_ms.unwrap_or(0))
    }

    /// The request with its token limit reduced by the number of chunks already sent, each of which
    /// is one token, but to no less than 1.
    fn remaining_request(&self) -> ChatRequest {
        let mut request = self.request.clone();
        if self.sent_chunks > 0
            && let Some(max_tokens) = request.max_tokens
        {
            let left = max_tokens.saturating_sub(self.sent_chunks).max(1);
            for field in ["max_tokens", "max_completion_tokens"] {
                if request.body.contains_key(field) {
                    request.body.insert(field.into(), left.into());
                }
            }
        }
        request
    }

    /// Sends a chunk to the caller. The final chunks are held back until the request is billed.
    fn forward_chunk(&mut self, chunk: Chunk) -> Result<(), StreamError> {
        let mut body = chunk.body;
        if let Some(usage) = chunk.usage {
            self.usage = self.total_usage(usage);
            let usage = serde_json::to_value(self.usage).expect("usage is always valid JSON");
            body.insert("usage".into(), usage);
        }
        if !self.request.wants_usage() {
            body.remove("usage");
        }
        body.insert(
            "id".into(),
            Value::from(format!("chatcmpl-{}", self.context.key)),
        );
        let has_choice = body.get("choices").is_some_and(|c| c.get(0).is_some());
        if chunk.is_final || !has_choice {
            if has_choice || self.request.wants_usage() {
                self.held_back_chunks.push(body);
            }
            return Ok(());
        }
        if chunk.text.is_empty() {
            return Ok(());
        }
        self.send_head().map_err(|_| StreamError::CallerGone)?;
        let text = serde_json::to_string(&body).expect("a chunk is always valid JSON");
        let events = self.events.as_mut().expect("the stream has begun");
        events
            .write_event(&text)
            .map_err(|_| StreamError::CallerGone)?;
        self.sent_text.push_str(&chunk.text);
        self.sent_chunks += 1;
        Ok(())
    }

    /// The usage of the complete stream.
    ///
    /// A resumed call receives the tokens generated by earlier engines as part of its prompt, so
    /// they are moved from prompt tokens to completion tokens.
    fn total_usage(&self, last_call: Usage) -> Usage {
        let generated_before = self.sent_chunks_before_call.min(last_call.prompt_tokens);
        Usage {
            prompt_tokens: last_call.prompt_tokens - generated_before,
            completion_tokens: last_call.completion_tokens + generated_before,
            total_tokens: last_call.total_tokens,
        }
    }

    /// Sends the response head unless it was sent before.
    fn send_head(&mut self) -> std::io::Result<()> {
        let Some(incoming) = self.incoming.take() else {
            return Ok(());
        };
        let headers = [
            Header::new("X-Ivyweir-Version", self.version.to_string()),
            Header::new("X-Ivyweir-Request-Key", self.context.key.as_ref()),
            Header::new(
                "X-Ivyweir-Box",
                self.context.node.incarnation.box_name.as_ref(),
            ),
        ];
        self.events = Some(incoming.into_events(&headers)?);
        Ok(())
    }

    fn charge(&self) -> Call {
        engine_call::charge(self.context, &self.version, self.usage)
    }

    fn finish(mut self) -> &'static str {
        if self.send_head().is_err() {
            return "caller_gone";
        }
        let mut events = self.events.take().expect("the stream has begun");
        for chunk in &self.held_back_chunks {
            let text = serde_json::to_string(chunk).expect("a chunk is always valid JSON");
            if events.write_event(&text).is_err() {
                return "caller_gone";
            }
        }
        match events.finish() {
            Ok(()) => "ok",
            Err(_) => "caller_gone",
        }
    }

    /// Reports a refusal: as an HTTP status if nothing was sent yet, otherwise as an error event
    /// without the end-of-stream marker.
    fn fail(mut self, refusal: &Refusal) -> &'static str {
        if let Some(incoming) = self.incoming.take() {
            let _caller_gone = incoming.reply(Reply::from(refusal));
        } else if let Some(events) = self.events.take() {
            let refusal = Refusal::unknown(refusal.code, refusal.message.clone());
            let _caller_gone = events.finish_with_error(&refusal);
        }
        refusal.code.as_str()
    }
}
