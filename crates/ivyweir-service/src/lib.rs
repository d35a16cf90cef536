//! Client of plain HTTP services. Methods, queries and bodies are forwarded unchanged, as are
//! headers that do not apply only to one connection.
//!
//! ```no_run
//! use std::time::Duration;
//! use ivyweir_service::{Call, HttpService, Service};
//!
//! let call = Call { method: "GET".into(), path_and_query: "/feed?since=5".into(), headers: vec![], body: vec![] };
//! let reply = HttpService::default().call("127.0.0.1:9000", &call, Duration::from_secs(5))?;
//! println!("status {}", reply.status);
//! # Ok::<(), ivyweir_service::CallError>(())
//! ```

use std::fmt;
use std::io::{self, Read};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use attohttpc::header::{CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use attohttpc::{Method, ProxySettings, RequestBuilder, Response};
use ivyweir_body::{BodyLimits, BodyReader};
use ivyweir_policy::gateway::answer_end::{AnswerEnd, Framing, SourceEnd, UpstreamState};
use ivyweir_policy::gateway::answer_status::is_answer_status;

/// Timeout for connecting to a service. Round trips to services take a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Bounds on replies. A reply that is too long is lost to its caller, though the call has run.
const REPLY_LIMITS: BodyLimits = BodyLimits {
    large_body_bytes: 256 << 10,
    max_body_bytes: 32 << 20,
    max_large_bodies: 2,
};

/// Time limit for the check of a service behind the end of its reply, which waits for it.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which the kernel has closed a connection that it accepted for a process that was terminating.
const SETTLING_TIME: Duration = Duration::from_millis(20);
/// Pause before a service that closed a new connection is connected to again.
const RECHECK_PAUSE: Duration = Duration::from_millis(2);

/// Hop-by-unforwarded headers and others that apply only to one connection; they are not forwarded.
const UNFORWARDED_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "accept-encoding",
    "expect",
];

/// An HTTP header field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Field name. ASCII case is neither significant nor preserved.
    pub name: String,
    /// Field value.
    pub value: String,
}

/// A request to forward to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Request target: the path and the query.
    pub path_and_query: String,
    /// Header fields. Those that apply only to one connection are not forwarded.
    pub headers: Vec<Header>,
    /// Request body.
    pub body: Vec<u8>,
}

/// Response of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Header fields, without those that apply only to one connection.
    pub headers: Vec<Header>,
    /// Response body.
    pub body: Vec<u8>,
}

/// Error of a call without a complete reply.
#[derive(Debug)]
pub struct CallError {
    /// Whether the service may have executed the call.
    pub may_have_run: bool,
    detail: String,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for CallError {}

/// Client interface to plain HTTP services.
pub trait Service: Send + Sync {
    /// Sends a call and waits for the complete reply.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no complete reply within `timeout`.
    fn call(&self, addr: &str, call: &Call, timeout: Duration) -> Result<Reply, CallError>;
}

/// HTTP client of services, which are addressed by IP address and port.
#[derive(Debug, Clone)]
pub struct HttpService {
    bodies: BodyReader,
}

impl Default for HttpService {
    fn default() -> Self {
        Self {
            bodies: BodyReader::new(REPLY_LIMITS),
        }
    }
}

impl Service for HttpService {
    fn call(&self, addr: &str, call: &Call, timeout: Duration) -> Result<Reply, CallError> {
        let deadline = Instant::now() + timeout;
        let method = Method::from_bytes(call.method.as_bytes()).map_err(|e| invalid_request(&e))?;
        let url = format!("http://{addr}{}", call.path_and_query);
        let mut request = RequestBuilder::try_new(method, url)
            .map_err(|e| invalid_request(&e))?
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(CONNECT_TIMEOUT.min(timeout))
            .read_timeout(timeout)
            .timeout(timeout);
        for header in call.headers.iter().filter(|h| is_forwarded(&h.name)) {
            let name =
                HeaderName::from_bytes(header.name.as_bytes()).map_err(|e| invalid_request(&e))?;
            request = request
                .try_header_append(name, header.value.clone())
                .map_err(|e| invalid_request(&e))?;
        }
        let response = request
            .bytes(&call.body)
            .send()
            .map_err(|e| transport_error(&e))?;
        let status = response.status().as_u16();
        if !is_answer_status(status) {
            return Err(CallError {
                may_have_run: true,
                detail: format!("status {status} is not one of an answer"),
            });
        }
        let headers = response
            .headers()
            .iter()
            .filter(|(name, _)| is_forwarded(name.as_str()))
            .map(|(name, value)| Header {
                name: name.as_str().to_owned(),
                value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
            })
            .collect();
        let framing = framing(&response);
        let length = response
            .headers()
            .get(CONTENT_LENGTH)
            .and_then(|length| length.to_str().ok()?.parse().ok());
        let (_, _, reader) = response.split();
        let body = self
            .bodies
            .read(reader, deadline)
            .map_err(|e| incomplete(&e.to_string()))?;
        let has_body = call.method != "HEAD" && !matches!(status, 204 | 304);
        if has_body {
            check_end(addr, framing, length, &body)?;
        }
        Ok(Reply {
            status,
            headers,
            body,
        })
    }
}

fn framing(response: &Response) -> Framing {
    let headers = response.headers();
    if headers.contains_key(TRANSFER_ENCODING) {
        Framing::Chunks
    } else if headers.contains_key(CONTENT_LENGTH) {
        Framing::Length
    } else {
        Framing::Connection
    }
}

/// Checks that a body is complete. The HTTP client does not compare it with its length.
fn check_end(
    addr: &str,
    framing: Framing,
    length: Option<u64>,
    body: &[u8],
) -> Result<(), CallError> {
    if framing == Framing::Length && length != Some(body.len() as u64) {
        return Err(incomplete("body ended before its length"));
    }
    let mut end = SourceEnd {
        framing,
        is_event_open: false,
        upstream: UpstreamState::Unchecked,
    };
    if end.meaning() == AnswerEnd::Unknown {
        end.upstream = state_after_end(addr);
    }
    match end.meaning() {
        AnswerEnd::Complete | AnswerEnd::Unknown => Ok(()),
        AnswerEnd::Broken(cause) => Err(incomplete(cause.text())),
    }
}

/// Finds out whether a service still listens after its body ended with the connection. While its process terminates, the
/// kernel still accepts connections, and closes them with the listener.
fn state_after_end(addr: &str) -> UpstreamState {
    let Ok(addr) = addr.parse() else {
        return UpstreamState::Running;
    };
    let deadline = Instant::now() + END_CHECK_TIMEOUT;
    while Instant::now() < deadline {
        match TcpStream::connect_timeout(&addr, END_CHECK_TIMEOUT) {
            Ok(mut connection) => {
                if !is_closed_soon(&mut connection) {
                    return UpstreamState::Running;
                }
                thread::sleep(RECHECK_PAUSE);
            }
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return UpstreamState::Terminated;
            }
            Err(_) => return UpstreamState::Running,
        }
    }
    UpstreamState::Running
}

/// Whether a new connection, on which nothing is sent, is closed by its peer within a while.
fn is_closed_soon(connection: &mut TcpStream) -> bool {
    if connection.set_read_timeout(Some(SETTLING_TIME)).is_err() {
        return true;
    }
    match connection.read(&mut [0]) {
        Ok(received) => received == 0,
        Err(e) => !matches!(
            e.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
        ),
    }
}

fn is_forwarded(name: &str) -> bool {
    !UNFORWARDED_HEADERS
        .iter()
        .any(|unforwarded| name.eq_ignore_ascii_case(unforwarded))
}

#[cold]
fn incomplete(detail: &str) -> CallError {
    CallError {
        may_have_run: true,
        detail: detail.to_owned(),
    }
}

#[cold]
fn invalid_request(error: &dyn fmt::Display) -> CallError {
    CallError {
        may_have_run: false,
        detail: error.to_string(),
    }
}

#[cold]
fn transport_error(error: &attohttpc::Error) -> CallError {
    let refused = matches!(
        error.kind(),
        attohttpc::ErrorKind::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused
    );
    CallError {
        may_have_run: !refused,
        detail: error.to_string(),
    }
}
