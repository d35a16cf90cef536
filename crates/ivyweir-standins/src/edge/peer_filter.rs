//! HTTP proxy in front of a box that refuses peer queries about selected topics.

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

/// Maximum size of a message between boxes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Address without a listener.
const UNUSED_ADDR: &str = "127.0.0.1:1";

/// A proxy in front of a box. It replaces the address of the box in join responses by its own, so that boxes that join
/// through it send all their calls for that box through it.
pub struct PeerFilter {
    addr: SocketAddr,
    refused_query: Arc<Mutex<Option<String>>>,
    queries: Arc<Mutex<Vec<String>>>,
}

impl PeerFilter {
    /// Starts a proxy for the box whose peer listener is at `target`.
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
                .expect("mutex is not poisoned")
                .push(query.clone());
            let refused = shared.clone();
            let filter_addr = *shared_addr.lock().expect("mutex is not poisoned");
            async move {
                let answer = answer(request, target, filter_addr).await?;
                // Checked after the response arrives, so that long polls that were already waiting are refused too: a
                // box without a source for the topic does not answer them either.
                let refused = refused.lock().expect("mutex is not poisoned").clone();
                let is_refused = refused.is_some_and(|topic: String| query.contains(&topic));
                Ok::<_, io::Error>(if is_refused { unavailable() } else { answer })
            }
        });
        *own_addr.lock().expect("mutex is not poisoned") = Some(addr);
        Self {
            addr,
            refused_query,
            queries,
        }
    }

    /// Returns the listening address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of queries received about this topic.
    pub fn query_count(&self, topic: &str) -> usize {
        let queries = self.queries.lock().expect("mutex is not poisoned");
        let topic_query = topic_query(topic);
        queries
            .iter()
            .filter(|query| query.contains(&topic_query))
            .count()
    }

    /// Refuses queries about this topic from now on, as a box does that has no source for the topic. Replaces the topic
    /// refused before.
    pub fn refuse_topic(&self, topic: &str) {
        *self.refused_query.lock().expect("mutex is not poisoned") = Some(topic_query(topic));
    }
}

/// Formats the part of a query string that selects a topic.
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

/// Replaces the address of the joining box by one without a listener. Otherwise the box behind the proxy would join
/// it in turn, announcing an address that bypasses the proxy.
fn with_unused_sender_addr(body: &[u8]) -> io::Result<Bytes> {
    let mut message: Value = message::decode(body, MAX_MESSAGE_BYTES)?;
    message["from"]["peer_addr"] = UNUSED_ADDR.into();
    Ok(message::encode(&message))
}

/// Replaces the address of the target box by the address of the proxy in a join response.
fn with_filter_addr(body: &[u8], target: SocketAddr, filter_addr: SocketAddr) -> io::Result<Bytes> {
    let mut answer: Value = message::decode(body, MAX_MESSAGE_BYTES)?;
    for record in answer["news"]["boxes"].as_array_mut().into_iter().flatten() {
        if record["peer_addr"] == target.to_string() {
            record["peer_addr"] = filter_addr.to_string().into();
        }
    }
    Ok(message::encode(&answer))
}
