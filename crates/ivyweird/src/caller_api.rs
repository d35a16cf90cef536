//! The paths that callers use.

use std::sync::Arc;

use ivyweir_caller::{ChatRequest, Handler, Header, Incoming, ModelList, Reply};
use ivyweir_policy::{Code, Refusal};

use crate::context::{self, Context};
use crate::node::Node;
use crate::{chat, forward, route, service_call, session, stream};

/// Answers callers.
pub struct CallerApi {
    /// The box.
    pub node: Arc<Node>,
}

/// A request that has been read whole.
#[derive(Debug, Clone)]
pub struct Parsed {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path_and_query: String,
    /// Headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

impl Parsed {
    /// A header's value.
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

    /// Answers a request. Returns how it ended, for the count.
    fn answer(&self, incoming: Incoming) -> &'static str {
        let node = &self.node;
        let entered = match node.admit() {
            Ok(entered) => entered,
            Err(refusal) => return refuse(incoming, &refusal),
        };
        let outcome = match read(incoming) {
            Ok((parsed, incoming)) => answer_read(node, &parsed, incoming),
            Err(failure) => refuse(failure.1, &failure.0),
        };
        drop(entered);
        outcome
    }
}

fn refuse(incoming: Incoming, refusal: &Refusal) -> &'static str {
    let _caller_gone = incoming.reply(Reply::from(refusal));
    refusal.code.as_str()
}

type ReadFailure = (Refusal, Incoming);

fn read(mut incoming: Incoming) -> Result<(Parsed, Incoming), Box<ReadFailure>> {
    let body = incoming.check_head().and_then(|()| incoming.read_body());
    match body {
        Err(refusal) => Err(Box::new((refusal, incoming))),
        Ok(body) => {
            let parsed = Parsed {
                method: incoming.method().to_owned(),
                path_and_query: incoming.path_and_query().to_owned(),
                headers: incoming.headers(),
                body,
            };
            Ok((parsed, incoming))
        }
    }
}

fn answer_read(node: &Node, parsed: &Parsed, incoming: Incoming) -> &'static str {
    if parsed.is_chat()
        && let Ok(request) = ChatRequest::from_slice(&parsed.body)
        && request.stream
    {
        match Context::new(node, &parsed.headers) {
            Ok(context) if !context.marks.at_most_once => {
                return stream::answer(&context, &request, incoming);
            }
            Ok(_) => {}
            Err(refusal) => return refuse(incoming, &refusal),
        }
    }
    let (reply, outcome) = respond_counted(node, parsed);
    match incoming.reply(reply) {
        Ok(()) => outcome,
        Err(_) => "caller_gone",
    }
}

/// Answers a request that has been read, as a whole.
pub fn respond(node: &Node, parsed: &Parsed) -> Reply {
    respond_counted(node, parsed).0
}

fn respond_counted(node: &Node, parsed: &Parsed) -> (Reply, &'static str) {
    match respond_or_refuse(node, parsed) {
        Ok(reply) => (reply, "ok"),
        Err(refusal) => (Reply::from(&refusal), refusal.code.as_str()),
    }
}

fn respond_or_refuse(node: &Node, parsed: &Parsed) -> Result<Reply, Refusal> {
    let context = Context::new(node, &parsed.headers)?;
    match (parsed.method.as_str(), parsed.path()) {
        ("POST", "/v1/chat/completions") => {
            let request = ChatRequest::from_slice(&parsed.body)?;
            let run = || chat::answer(&context, &request);
            once_or_more(&context, parsed, run)
        }
        ("GET", "/v1/models") => {
            let ids = route::model_ids(&context.current.config, &context.workspace);
            Ok(Reply::json(200, ModelList::new(ids).to_vec()))
        }
        ("POST", "/v1/sessions") => session::open(&context),
        (_, path) if path.starts_with(service_call::PREFIX) => {
            let run = || service_call::answer(&context, parsed);
            once_or_more(&context, parsed, run)
        }
        _ => Err(Refusal::not_run(Code::NotFound, "no such path")),
    }
}

fn once_or_more(
    context: &Context<'_>,
    parsed: &Parsed,
    run: impl FnOnce() -> Result<Reply, Refusal>,
) -> Result<Reply, Refusal> {
    if context.marks.at_most_once {
        forward::at_most_once(context, parsed, run)
    } else {
        run()
    }
}
