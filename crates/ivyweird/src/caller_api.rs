//! The HTTP API for callers.

use std::sync::Arc;

use ivyweir_caller::{ChatRequest, Handler, Header, Incoming, ModelList, Reply};
use ivyweir_policy::{Code, Refusal};

use crate::context::{self, Context};
use crate::node::Node;
use crate::{chat, forward, route, service_call, session, stream};

/// Handler for requests of callers.
pub struct CallerApi {
    pub node: Arc<Node>,
}

/// A request whose head and body have been read.
#[derive(Debug, Clone)]
pub struct ParsedRequest {
    pub method: String,
    pub path_and_query: String,
    pub headers: Vec<Header>,
    pub body: Vec<u8>,
}

impl ParsedRequest {
    /// Value of a header, by its name without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        context::header(&self.headers, name)
    }

    fn path(&self) -> &str {
        self.path_and_query.split('?').next().unwrap_or_default()
    }

    fn is_chat(&self) -> bool {
        self.method == "POST" && self.path() == "/v1/chat/completions"
    }
}

impl Handler for CallerApi {
    fn handle(&self, incoming: Incoming) {
        if let Some(reply) = self.answer_probe(&incoming) {
            let _caller_gone = incoming.reply(reply);
            return;
        }
        let outcome = self.answer(incoming);
        self.node.metrics.count_request(outcome);
    }
}

impl CallerApi {
    fn answer_probe(&self, incoming: &Incoming) -> Option<Reply> {
        match (incoming.method(), incoming.path()) {
            ("GET", "/healthz") => Some(Reply::text(200, "ok\n")),
            ("GET", "/readyz") if self.node.is_ready() => Some(Reply::text(200, "ready\n")),
            ("GET", "/readyz") => Some(Reply::text(503, "not ready\n")),
            ("GET", "/metrics") => Some(Reply::text(200, self.node.metrics.encode_text())),
            _ => None,
        }
    }

    /// Answers a request. Returns the outcome label for the request metric.
    fn answer(&self, incoming: Incoming) -> &'static str {
        let node = &self.node;
        let in_progress = match node.admit() {
            Ok(in_progress) => in_progress,
            Err(refusal) => return refuse(incoming, &refusal),
        };
        let outcome = match read_request(incoming) {
            Ok((parsed, incoming)) => answer_parsed(node, &parsed, incoming),
            Err(failure) => refuse(failure.1, &failure.0),
        };
        drop(in_progress);
        outcome
    }
}

fn refuse(incoming: Incoming, refusal: &Refusal) -> &'static str {
    let _caller_gone = incoming.reply(Reply::from(refusal));
    refusal.code.as_str()
}

type ReadFailure = (Refusal, Incoming);

fn read_request(mut incoming: Incoming) -> Result<(ParsedRequest, Incoming), Box<ReadFailure>> {
    let body = incoming.check_head().and_then(|()| incoming.read_body());
    match body {
        Err(refusal) => Err(Box::new((refusal, incoming))),
        Ok(body) => {
            let parsed = ParsedRequest {
                method: incoming.method().to_owned(),
                path_and_query: incoming.path_and_query().to_owned(),
                headers: incoming.headers(),
                body,
            };
            Ok((parsed, incoming))
        }
    }
}

fn answer_parsed(node: &Node, parsed: &ParsedRequest, incoming: Incoming) -> &'static str {
    if parsed.is_chat()
        && let Ok(request) = ChatRequest::from_slice(&parsed.body)
        && request.stream
    {
        match Context::new(node, &parsed.headers) {
            Ok(context) if !context.metadata.at_most_once => {
                return stream::answer(&context, &request, incoming);
            }
            Ok(_) => {}
            Err(refusal) => return refuse(incoming, &refusal),
        }
    }
    let (reply, outcome) = respond_with_outcome(node, parsed);
    match incoming.reply(reply) {
        Ok(()) => outcome,
        Err(_) => "caller_gone",
    }
}

/// Answers a request without streaming.
pub fn respond(node: &Node, parsed: &ParsedRequest) -> Reply {
    respond_with_outcome(node, parsed).0
}

fn respond_with_outcome(node: &Node, parsed: &ParsedRequest) -> (Reply, &'static str) {
    match try_respond(node, parsed) {
        Ok(reply) => (reply, "ok"),
        Err(refusal) => (Reply::from(&refusal), refusal.code.as_str()),
    }
}

fn try_respond(node: &Node, parsed: &ParsedRequest) -> Result<Reply, Refusal> {
    let context = Context::new(node, &parsed.headers)?;
    match (parsed.method.as_str(), parsed.path()) {
        ("POST", "/v1/chat/completions") => {
            let request = ChatRequest::from_slice(&parsed.body)?;
            let run = || chat::answer(&context, &request);
            run_request(&context, parsed, run)
        }
        ("GET", "/v1/models") => {
            let ids = route::model_ids(&context.current.config, &context.workspace);
            Ok(Reply::json(200, ModelList::new(ids).to_vec()))
        }
        ("POST", "/v1/sessions") => session::open(&context),
        (_, path) if path.starts_with(service_call::PATH_PREFIX) => {
            let run = || service_call::answer(&context, parsed);
            run_request(&context, parsed, run)
        }
        _ => Err(Refusal::not_run(Code::NotFound, "no such path")),
    }
}

/// Runs a request, at most once if the caller asks for that.
fn run_request(
    context: &Context<'_>,
    parsed: &ParsedRequest,
    run: impl FnOnce() -> Result<Reply, Refusal>,
) -> Result<Reply, Refusal> {
    if context.metadata.at_most_once {
        forward::at_most_once(context, parsed, run)
    } else {
        run()
    }
}
