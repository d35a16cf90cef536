//! Bodies of events that scripted upstreams send.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::sleep;

use super::{ActiveGuard, Body, Shared};

/// Streams the events after `last` up to `events`, and runs `finish` behind the last one. The text of an event contains
/// its number.
pub(super) fn event_stream(
    active: ActiveGuard,
    last: u64,
    events: u64,
    gap_ms: u64,
    truncate_after: Option<u64>,
    finish: impl Fn() + Send + Sync + 'static,
) -> Body {
    let finish = Arc::new(finish);
    let frames = stream::unfold((last, active), move |(last, active)| {
        let finish = finish.clone();
        async move {
            let id = last + 1;
            if id > events {
                finish();
                return None;
            }
            sleep(Duration::from_millis(gap_ms)).await;
            match truncate_after {
                Some(limit) if last == limit => {
                    let partial = Frame::data(Bytes::from(format!("id: {id}\ndata: to")));
                    Some((Ok(partial), (events, active)))
                }
                _ => {
                    let event = format!("id: {id}\ndata: token {id}\n\n");
                    Some((Ok(Frame::data(Bytes::from(event))), (id, active)))
                }
            }
        }
    });
    let frames = stream::StreamExt::chain(frames, truncation_error(truncate_after));
    StreamBody::new(Box::pin(frames)).boxed_unsync()
}

/// Streams events with a text of `event_bytes`.
pub(super) fn large_events(
    active: ActiveGuard,
    events: u64,
    event_bytes: usize,
    gap_ms: u64,
) -> Body {
    let text = "x".repeat(event_bytes);
    let frames = stream::unfold((1, active), move |(id, active)| {
        let event = (id <= events).then(|| format!("id: {id}\ndata: {text}\n\n"));
        async move {
            if gap_ms > 0 {
                sleep(Duration::from_millis(gap_ms)).await;
            }
            let frame = Frame::data(Bytes::from(event?));
            Some((Ok(frame), (id + 1, active)))
        }
    });
    StreamBody::new(Box::pin(frames)).boxed_unsync()
}

/// Forwards all events and then exits.
pub(super) fn then_exit(events: Body, shared: Arc<Shared>) -> Body {
    let exiting = stream::once(async move {
        shared.exit();
        std::future::pending().await
    });
    let events = http_body_util::BodyStream::new(events);
    StreamBody::new(stream::StreamExt::chain(events, exiting)).boxed_unsync()
}

fn truncation_error(
    truncate_after: Option<u64>,
) -> impl stream::Stream<Item = io::Result<Frame<Bytes>>> {
    let error = truncate_after.map(|_| Err(io::Error::other("scripted truncation of the body")));
    stream::iter(error)
}
