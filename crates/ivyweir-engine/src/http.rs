//! HTTP client of engines: the chat completions API, `/load` and `/orders`.

use std::io;
use std::time::{Duration, Instant};

use attohttpc::{Method, ProxySettings, RequestBuilder, Response, StatusCode};
use ivyweir_body::BodyReader;
use serde::{Deserialize, Serialize};

use crate::{CallError, ChunkStream, CompletionRequest, CompletionResponse, Fault};

/// Timeout for connecting to an engine. Round trips to engines take a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for load reports and orders.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time without data in a stream.
const STREAM_READ_TIMEOUT: Duration = Duration::from_secs(15);

/// Load and loaded versions reported by an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running calls.
    pub running: u32,
    /// Number of queued calls.
    pub waiting: u32,
    /// Maximum number of concurrently running calls.
    pub slots: u32,
    /// Loaded versions, as `model@version`.
    pub versions: Vec<String>,
}

/// A control request to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token: the generation of the configuration that the order is based on. Engines that
    /// check it refuse orders with a lower one.
    pub fence: u64,
    /// Requested action.
    pub order: OrderKind,
    /// Version that the order applies to, as `model@version`.
    pub version: String,
}

/// Action requested by an [`Order`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Accept no new calls for the version.
    Withdraw,
}

/// Client interface to model engines.
pub trait Engine: Send + Sync {
    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no complete response within `timeout`.
    fn complete(
        &self,
        addr: &str,
        request: &CompletionRequest,
        timeout: Duration,
    ) -> Result<CompletionResponse, CallError>;

    /// Starts a stream. The stream yields an error if it is not complete within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not start the stream.
    fn stream(
        &self,
        addr: &str,
        request: &CompletionRequest,
        timeout: Duration,
    ) -> Result<ChunkStream, CallError>;

    /// Fetches the load report.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine returns no valid report within one second.
    fn fetch_load(&self, addr: &str) -> Result<LoadReport, CallError>;

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not accept the order.
    fn send_order(&self, addr: &str, order: &Order) -> Result<(), CallError>;
}

/// HTTP client of engines, which are addressed by IP address and port.
#[derive(Debug, Clone, Default)]
pub struct HttpEngine {
    bodies: BodyReader,
}

impl HttpEngine {
    fn read_body(&self, response: Response, deadline: Instant) -> Result<Vec<u8>, CallError> {
        let (_, _, reader) = response.split();
        self.bodies
            .read(reader, deadline)
            .map_err(|e| crate::stream::io_error(&e))
    }

    fn send(
        addr: &str,
        request: &CompletionRequest,
        timeout: Duration,
        read_timeout: Duration,
    ) -> Result<Response, CallError> {
        let response = request_builder(Method::POST, addr, "/v1/chat/completions", timeout)
            .read_timeout(read_timeout)
            .header("X-Request-Id", request.request_id())
            .json(request.body())
            .map_err(|e| CallError::not_sent(Fault::Rejected, e.to_string()))?
            .send()
            .map_err(|e| transport_error(&e))?;
        check_status(response)
    }
}

impl Engine for HttpEngine {
    fn complete(
        &self,
        addr: &str,
        request: &CompletionRequest,
        timeout: Duration,
    ) -> Result<CompletionResponse, CallError> {
        let deadline = Instant::now() + timeout;
        let response = Self::send(addr, request, timeout, timeout)?;
        let bytes = self.read_body(response, deadline)?;
        CompletionResponse::from_slice(request, &bytes)
    }

    fn stream(
        &self,
        addr: &str,
        request: &CompletionRequest,
        timeout: Duration,
    ) -> Result<ChunkStream, CallError> {
        let read_timeout = STREAM_READ_TIMEOUT.min(timeout);
        let response = Self::send(addr, request, timeout, read_timeout)?;
        let (_, _, reader) = response.split();
        Ok(ChunkStream::new(Box::new(reader), request.clone()))
    }

    fn fetch_load(&self, addr: &str) -> Result<LoadReport, CallError> {
        let deadline = Instant::now() + CONTROL_TIMEOUT;
        let response = request_builder(Method::GET, addr, "/load", CONTROL_TIMEOUT)
            .send()
            .map_err(|e| transport_error(&e))?;
        let bytes = self.read_body(check_status(response)?, deadline)?;
        serde_json::from_slice(&bytes)
            .map_err(|e| CallError::new(Fault::Truncated, format!("load report: {e}")))
    }

    fn send_order(&self, addr: &str, order: &Order) -> Result<(), CallError> {
        let response = request_builder(Method::POST, addr, "/orders", CONTROL_TIMEOUT)
            .json(order)
            .map_err(|e| CallError::not_sent(Fault::Rejected, e.to_string()))?
            .send()
            .map_err(|e| transport_error(&e))?;
        check_status(response).map(drop)
    }
}

fn request_builder(method: Method, addr: &str, path: &str, timeout: Duration) -> RequestBuilder {
    RequestBuilder::new(method, format!("http://{addr}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(CONNECT_TIMEOUT.min(timeout))
        .read_timeout(timeout)
        .timeout(timeout)
}

fn check_status(response: Response) -> Result<Response, CallError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let fault = match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Fault::Busy,
        _ if status.is_client_error() => Fault::Rejected,
        _ => Fault::Failed,
    };
    Err(CallError::new(fault, format!("status {}", status.as_u16())))
}

#[cold]
fn transport_error(error: &attohttpc::Error) -> CallError {
    let fault = match error.kind() {
        attohttpc::ErrorKind::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
            Fault::Unreachable
        }
        attohttpc::ErrorKind::Io(e) => return crate::stream::io_error(e),
        _ => Fault::Truncated,
    };
    CallError::new(fault, error.to_string())
}
