//! A box as others reach it, behind a filter that refuses what it is asked about some topics.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use ivyweir_gateway::message;
use serde_json::Value;
use tokio::net::TcpStream;

use super::test_cluster::serve_on_thread;

/// Largest message between boxes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Where nobody listens.
const UNUSED_ADDR: &str = "127.0.0.1:1";

/// A filter before a box. Boxes that join there take its address for the box's own, so that all their calls pass it.
pub struct PeerFilter {
    addr: SocketAddr,
    refused_query: Arc<Mutex<Option<String>>>,
    queries: Arc<Mutex<Vec<String>>>,
}

impl PeerFilter {
    /// Starts a filter before the box that others reach at `target`.
    pub fn start(target: SocketAddr) -> Self {
        let refused_query: Arc<Mutex<Option<String>>> = Arc::default();
        let shared = refused_query.clone();
        let own_addr: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        let shared_addr = own_addr.clone();
        let queries: Arc<Mutex<Vec<String>>> = Arc::default();
        let recorded_queries = queries.clone();
        let addr = serve_on_thread(move |request| {
            let query = request.uri().query().unwrap_or_default().to_owned();
            recorded_queries
                .lock()
                .expect("no holder panics")
                .push(query.clone());
            let refused = shared.clone();
            let filter_addr = *shared_addr.lock().expect("no holder panics");
            async move {
                let answer = answer(request, target, filter_addr).await?;
                // Also what was asked before: such a box answers nobody who waits.
                let refused = refused.lock().expect("no holder panics").clone();
                let is_refused = refused.is_some_and(|topic: String| query.contains(&topic));
                Ok::<_, io::Error>(if is_refused { unavailable() } else { answer })
            }
        });
        *own_addr.lock().expect("no holder panics") = Some(addr);
        Self {
            addr,
            refused_query,
            queries,
        }
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// How often this topic was asked about.
    pub fn query_count(&self, topic: &str) -> usize {
        let queries = self.queries.lock().expect("no holder panics");
        let topic_query = topic_query(topic);
        queries
            .iter()
            .filter(|query| query.contains(&topic_query))
            .count()
    }

    /// Refuses queries about this topic from now on, as a box does that hears of it from nobody.
    pub fn refuse_topic(&self, topic: &str) {
        *self.refused_query.lock().expect("no holder panics") = Some(topic_query(topic));
    }
}

/// How a question about a topic is told.
fn topic_query(topic: &str) -> String {
    format!("topic={topic}&")
}

async fn answer(
    request: Request<Incoming>,
    target: SocketAddr,
    filter_addr: Option<SocketAddr>,
) -> io::Result<Response<Full<Bytes>>> {
    let is_join = request.uri().path().ends_with("/join");
    let (head, body) = request.into_parts();
    let mut body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    if is_join {
        body = with_unused_sender_addr(&body)?;
    }
    let mut request = Request::from_parts(head, Full::new(body));
    request.headers_mut().remove(header::CONTENT_LENGTH);
    let stream = TcpStream::connect(target).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(connection);
    let answer = sender.send_request(request).await;
    let (head, body) = answer.map_err(io::Error::other)?.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let Some(filter_addr) = filter_addr.filter(|_| is_join && head.status == StatusCode::OK) else {
        return Ok(Response::from_parts(head, Full::new(body)));
    };
    let body = with_filter_addr(&body, target, filter_addr)?;
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = head.status;
    Ok(answer)
}

fn unavailable() -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    answer
}

/// A message in which the box that joins has an address where nobody listens: the box behind the filter would join there
/// in turn, with an address that does not pass the filter.
fn with_unused_sender_addr(body: &[u8]) -> io::Result<Bytes> {
    let mut message: Value = message::decode(body, MAX_MESSAGE_BYTES)?;
    message["from"]["peer_addr"] = UNUSED_ADDR.into();
    Ok(message::encode(&message))
}

/// A list of boxes in which the one behind the filter has the filter's address.
fn with_filter_addr(body: &[u8], target: SocketAddr, filter_addr: SocketAddr) -> io::Result<Bytes> {
    let mut answer: Value = message::decode(body, MAX_MESSAGE_BYTES)?;
    for record in answer["news"]["boxes"].as_array_mut().into_iter().flatten() {
        if record["peer_addr"] == target.to_string() {
            record["peer_addr"] = filter_addr.to_string().into();
        }
    }
    Ok(message::encode(&answer))
}
