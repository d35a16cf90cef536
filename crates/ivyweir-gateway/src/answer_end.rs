//! Decides what the end of an answer's body means, checking its upstream where only that can tell.

use std::sync::Arc;

use hyper::{HeaderMap, header};
use ivyweir_policy::gateway::answer_end::{
    AnswerEnd, BreakCause, Framing, SourceEnd, UpstreamState,
};
use serde_json::json;

use crate::in_flight::InFlightRequest;
use crate::liveness;
use crate::log::Trace;
use crate::state::Gateway;

/// Checks that a body that was read to its end is a complete answer.
///
/// # Errors
///
/// Fails with the cause if the answer was broken off. The caller then records the connection as broken.
pub async fn check(
    gateway: &Arc<Gateway>,
    in_flight: &InFlightRequest,
    framing: Framing,
    is_event_open: bool,
    trace: &mut Trace,
) -> Result<(), BreakCause> {
    let mut end = SourceEnd {
        framing,
        is_event_open,
        upstream: UpstreamState::Unchecked,
    };
    if end.meaning() == AnswerEnd::Unknown {
        end.upstream = match in_flight.upstream() {
            Some(upstream) => liveness::state_after_end(gateway, upstream).await,
            // Boxes frame what they relay, so this one has stopped.
            None => UpstreamState::Terminated,
        };
    }
    let meaning = end.meaning();
    let label = match meaning {
        AnswerEnd::Complete | AnswerEnd::Unknown => "complete",
        AnswerEnd::Broken(BreakCause::EventOpen) => "event_open",
        AnswerEnd::Broken(BreakCause::UpstreamTerminated) => "upstream_terminated",
    };
    let ends = &gateway.metrics.answer_ends;
    ends.with_label_values(&[framing.name(), label]).inc();
    match meaning {
        AnswerEnd::Complete | AnswerEnd::Unknown => Ok(()),
        AnswerEnd::Broken(cause) => {
            let detail = json!({
                "upstream": in_flight.place(), "framing": framing.name(), "cause": cause.text(),
            });
            trace.fail("answer_incomplete", detail);
            Err(cause)
        }
    }
}

/// Whether a successful response on a stream route is a stream of events, by its content type. Types that say nothing
/// about the content count as events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    let Some(content_type) = content_type.and_then(|value| value.to_str().ok()) else {
        return true;
    };
    let content_type = content_type.trim_start().to_ascii_lowercase();
    content_type.starts_with("text/") || content_type.starts_with("application/octet-stream")
}
