//! Chat completions that are streamed: an event per token, and on at another engine if one dies.

use std::time::Duration;

use ivyweir_caller::{ChatRequest, EventWriter, Header, Incoming, Reply};
use ivyweir_engine::{CallError, Chunk, Fault, Usage};
use ivyweir_policy::billing::Call;
use ivyweir_policy::{Refusal, VersionRef};
use serde_json::{Map, Value};

use crate::context::Context;
use crate::gate::Held;
use crate::route::{self, Route};
use crate::run::{self, Tries};

/// How a stream stands towards its caller.
struct Live<'c, 'n> {
    context: &'c Context<'n>,
    request: &'c ChatRequest,
    at: VersionRef,
    prefix: u64,
    incoming: Option<Incoming>,
    events: Option<EventWriter>,
    /// Text that the caller has.
    sent: String,
    sent_chunks: u64,
    /// Those of them that came from engines before the present one.
    sent_chunks_before: u64,
    usage: Usage,
    /// Chunks from the finish reason on; they wait until the request is billed.
    last_chunks: Vec<Map<String, Value>>,
}

/// Why a stream stopped short.
enum Stop {
    /// The upstream failed.
    Upstream(CallError),
    /// The caller is gone.
    Caller,
}

/// Answers a request with a stream. Returns how it ended, for the count.
pub fn answer(context: &Context<'_>, request: &ChatRequest, incoming: Incoming) -> &'static str {
    let found = route::find(context, request);
    let ready = found.and_then(|route| context.node.ledger.check_available().map(|()| route));
    match ready {
        Ok(route) => Live::new(context, request, &route, incoming).run(),
        Err(refusal) => {
            let _caller_gone = incoming.reply(Reply::from(&refusal));
            refusal.code.as_str()
        }
    }
}

impl<'c, 'n> Live<'c, 'n> {
    fn new(
        context: &'c Context<'n>,
        request: &'c ChatRequest,
        route: &Route,
        incoming: Incoming,
    ) -> Self {
        Self {
            context,
            request,
            at: route.first().version.clone(),
            prefix: route.prefix,
            incoming: Some(incoming),
            events: None,
            sent: String::new(),
            sent_chunks: 0,
            sent_chunks_before: 0,
            usage: Usage::default(),
            last_chunks: Vec::new(),
        }
    }

    fn run(mut self) -> &'static str {
        let outcome = self.call_until_whole();
        let outcome = match outcome {
            Ok(()) => run::bill(self.context, vec![self.charge()]).map_err(Some),
            Err(stop) => Err(stop),
        };
        match outcome {
            Ok(()) => self.finish(),
            Err(Some(refusal)) => self.fail(&refusal),
            Err(None) => "caller_gone",
        }
    }

    /// Calls engines until the stream is whole; none as the error when the caller is gone.
    fn call_until_whole(&mut self) -> Result<(), Option<Refusal>> {
        let mut tries = Tries::default();
        loop {
            let held = run::hold_upstream(self.context, &self.at, self.prefix, &mut tries)
                .map_err(Some)?;
            let mut observation = run::observation(self.context, &self.at, &held);
            let stopped = self.call_once(&held);
            let fault = match &stopped {
                Ok(_) | Err(Stop::Caller) => None,
                Err(Stop::Upstream(error)) => Some(error.fault),
            };
            observation.failed = fault.is_some();
            run::learn(self.context, &observation, fault);
            let first_token_ms = stopped.as_ref().ok().copied();
            held.finish(
                run::is_upstream_ok(fault),
                first_token_ms,
                self.context.moment(),
            );
            match stopped {
                Ok(_) => return Ok(()),
                Err(Stop::Caller) => return Err(None),
                Err(Stop::Upstream(error)) if self.may_go_on(&error, &tries) => {}
                Err(Stop::Upstream(error)) => return Err(Some(run::refusal(self.context, &error))),
            }
        }
    }

    /// Whether another engine may begin anew or go on behind what the caller has.
    fn may_go_on(&self, error: &CallError, tries: &Tries) -> bool {
        let has_begun = self.sent_chunks > 0;
        if has_begun && !self.context.node.settings.policy.resume {
            return false;
        }
        let goes_on = run::may_try_again(self.context, error, tries);
        if goes_on && has_begun {
            self.context.node.metrics.resumed_streams.add(1, &[]);
        }
        goes_on
    }

    /// One call to one engine. Returns the time to its first token.
    fn call_once(&mut self, held: &Held<'_>) -> Result<u64, Stop> {
        let started_ms = self.context.node.clock.now_ms();
        self.sent_chunks_before = self.sent_chunks;
        let completion = run::completion(self.context, &self.remaining(), &self.at)
            .streamed()
            .continuing(&self.sent);
        let timeout = Duration::from_millis(self.context.left_ms().max(1));
        let engine = &self.context.node.engine;
        let stream = engine.stream(&held.upstream.addr, &completion, timeout);
        let mut first_token_ms = None;
        for chunk in stream.map_err(Stop::Upstream)? {
            let chunk = chunk.map_err(Stop::Upstream)?;
            if self.context.left_ms() == 0 {
                let late = CallError::new(Fault::TimedOut, "deadline");
                return Err(Stop::Upstream(late));
            }
            let now_ms = self.context.node.clock.now_ms();
            first_token_ms.get_or_insert(now_ms - started_ms);
            self.pass_on(chunk)?;
        }
        Ok(first_token_ms.unwrap_or(0))
    }

    /// The request, with fewer tokens to come where some were sent.
    fn remaining(&self) -> ChatRequest {
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

    /// Sends a chunk on; the last one is kept until the request is billed.
    fn pass_on(&mut self, chunk: Chunk) -> Result<(), Stop> {
        let mut body = chunk.body;
        if let Some(usage) = chunk.usage {
            self.usage = self.whole_usage(usage);
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
                self.last_chunks.push(body);
            }
            return Ok(());
        }
        if chunk.text.is_empty() {
            return Ok(());
        }
        self.begin().map_err(|_| Stop::Caller)?;
        let text = serde_json::to_string(&body).expect("a chunk is always valid JSON");
        let events = self.events.as_mut().expect("the stream has begun");
        events.event(&text).map_err(|_| Stop::Caller)?;
        self.sent.push_str(&chunk.text);
        self.sent_chunks += 1;
        Ok(())
    }

    /// The usage of the whole stream: a call that went on read as prompt what others generated.
    fn whole_usage(&self, last: Usage) -> Usage {
        let before = self.sent_chunks_before.min(last.prompt_tokens);
        Usage {
            prompt_tokens: last.prompt_tokens - before,
            completion_tokens: last.completion_tokens + before,
            total_tokens: last.total_tokens,
        }
    }

    fn begin(&mut self) -> std::io::Result<()> {
        let Some(incoming) = self.incoming.take() else {
            return Ok(());
        };
        let headers = [
            Header::new("X-Ivyweir-Version", self.at.to_string()),
            Header::new("X-Ivyweir-Request-Key", self.context.key.as_ref()),
            Header::new("X-Ivyweir-Box", self.context.node.me.box_name.as_ref()),
        ];
        self.events = Some(incoming.into_events(&headers)?);
        Ok(())
    }

    fn charge(&self) -> Call {
        run::charge(self.context, &self.at, self.usage)
    }

    fn finish(mut self) -> &'static str {
        if self.begin().is_err() {
            return "caller_gone";
        }
        let mut events = self.events.take().expect("the stream has begun");
        for last in &self.last_chunks {
            let text = serde_json::to_string(last).expect("a chunk is always valid JSON");
            if events.event(&text).is_err() {
                return "caller_gone";
            }
        }
        match events.finish() {
            Ok(()) => "ok",
            Err(_) => "caller_gone",
        }
    }

    /// Tells the caller: by status if nothing was sent, else by an error event and no end mark.
    fn fail(mut self, refusal: &Refusal) -> &'static str {
        if let Some(incoming) = self.incoming.take() {
            let _caller_gone = incoming.reply(Reply::from(refusal));
        } else if let Some(events) = self.events.take() {
            let refusal = Refusal::unknown(refusal.code, refusal.message.clone());
            let _caller_gone = events.fail(&refusal);
        }
        refusal.code.as_str()
    }
}
