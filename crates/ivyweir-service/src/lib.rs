//! Client of plain services: methods, queries, headers and bodies are carried as they are.
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
use std::io;
use std::time::Duration;

use attohttpc::header::HeaderName;
use attohttpc::{Method, ProxySettings, RequestBuilder};

/// Time to reach a service; they are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Headers that belong to one connection and are not carried on.
const HOP_HEADERS: &[&str] = &[
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

/// One header line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The name as the sender wrote it.
    pub name: String,
    /// The value.
    pub value: String,
}

/// A call as the caller made it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path_and_query: String,
    /// Headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

/// A service's reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

/// A call that brought no reply.
#[derive(Debug)]
pub struct CallError {
    /// Whether the service may have run it.
    pub may_have_run: bool,
    detail: String,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for CallError {}

/// A plain service.
pub trait Service: Send + Sync {
    /// Makes a call and waits for the whole reply.
    ///
    /// # Errors
    ///
    /// [`CallError`] when there is no whole reply within `timeout`.
    fn call(&self, addr: &str, call: &Call, timeout: Duration) -> Result<Reply, CallError>;
}

/// Services reached over HTTP by IP address and port.
#[derive(Debug, Clone, Default)]
pub struct HttpService;

impl Service for HttpService {
    fn call(&self, addr: &str, call: &Call, timeout: Duration) -> Result<Reply, CallError> {
        let method = Method::from_bytes(call.method.as_bytes()).map_err(|e| never_sent(&e))?;
        let url = format!("http://{addr}{}", call.path_and_query);
        let mut request = RequestBuilder::try_new(method, url)
            .map_err(|e| never_sent(&e))?
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(CONNECT_TIMEOUT.min(timeout))
            .read_timeout(timeout)
            .timeout(timeout);
        for header in call.headers.iter().filter(|h| is_end_to_end(&h.name)) {
            let name =
                HeaderName::from_bytes(header.name.as_bytes()).map_err(|e| never_sent(&e))?;
            request = request
                .try_header_append(name, header.value.clone())
                .map_err(|e| never_sent(&e))?;
        }
        let response = request.bytes(&call.body).send().map_err(|e| lost(&e))?;
        let status = response.status().as_u16();
        let headers = response
            .headers()
            .iter()
            .filter(|(name, _)| is_end_to_end(name.as_str()))
            .map(|(name, value)| Header {
                name: name.as_str().to_owned(),
                value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
            })
            .collect();
        let body = response.bytes().map_err(|e| lost(&e))?;
        Ok(Reply {
            status,
            headers,
            body,
        })
    }
}

fn is_end_to_end(name: &str) -> bool {
    !HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

#[cold]
fn never_sent(error: &dyn fmt::Display) -> CallError {
    CallError {
        may_have_run: false,
        detail: error.to_string(),
    }
}

#[cold]
fn lost(error: &attohttpc::Error) -> CallError {
    let refused = matches!(
        error.kind(),
        attohttpc::ErrorKind::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused
    );
    CallError {
        may_have_run: !refused,
        detail: error.to_string(),
    }
}
