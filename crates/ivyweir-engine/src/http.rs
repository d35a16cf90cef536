//! Engines over HTTP: the chat completions API, `/load` and `/orders`.

use std::io;
use std::time::Duration;

use attohttpc::{Method, ProxySettings, RequestBuilder, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{Answer, CallError, ChunkStream, Completion, Fault};

/// Time to reach an engine; they are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for a load report or an order.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest silence within a stream.
const STREAM_SILENCE: Duration = Duration::from_secs(15);

/// What an engine says of its load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls running.
    pub running: u32,
    /// Calls waiting.
    pub waiting: u32,
    /// Calls that may run at once.
    pub slots: u32,
    /// Versions loaded, as `model@version`.
    pub versions: Vec<String>,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Generation of the configuration it rests on; engines that check refuse a lower one.
    pub fence: u64,
    /// What to do.
    pub order: OrderKind,
    /// The version, as `model@version`.
    pub version: String,
}

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Take no new work for the version.
    Withdraw,
}

/// A model engine.
pub trait Engine: Send + Sync {
    /// Runs a request and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// [`CallError`] when there is no whole answer within `timeout`.
    fn complete(
        &self,
        addr: &str,
        request: &Completion,
        timeout: Duration,
    ) -> Result<Answer, CallError>;

    /// Starts a stream; it ends in an error if it is not whole within `timeout`.
    ///
    /// # Errors
    ///
    /// [`CallError`] when the engine does not start it.
    fn stream(
        &self,
        addr: &str,
        request: &Completion,
        timeout: Duration,
    ) -> Result<ChunkStream, CallError>;

    /// Asks for the load.
    ///
    /// # Errors
    ///
    /// [`CallError`] when there is no report.
    fn load(&self, addr: &str) -> Result<LoadReport, CallError>;

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// [`CallError`] when the engine does not take it.
    fn order(&self, addr: &str, order: &Order) -> Result<(), CallError>;
}

/// Engines reached over HTTP by IP address and port.
#[derive(Debug, Clone, Default)]
pub struct HttpEngine;

impl HttpEngine {
    fn send(
        addr: &str,
        request: &Completion,
        timeout: Duration,
        silence: Duration,
    ) -> Result<Response, CallError> {
        let response = base(Method::POST, addr, "/v1/chat/completions", timeout)
            .read_timeout(silence)
            .header("X-Request-Id", request.request_id())
            .json(request.body())
            .map_err(|e| CallError::new(Fault::Rejected, e.to_string()))?
            .send()
            .map_err(|e| failed(&e))?;
        check_status(response)
    }
}

impl Engine for HttpEngine {
    fn complete(
        &self,
        addr: &str,
        request: &Completion,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let response = Self::send(addr, request, timeout, timeout)?;
        let bytes = response.bytes().map_err(|e| failed(&e))?;
        Answer::check(request, &bytes)
    }

    fn stream(
        &self,
        addr: &str,
        request: &Completion,
        timeout: Duration,
    ) -> Result<ChunkStream, CallError> {
        let silence = STREAM_SILENCE.min(timeout);
        let response = Self::send(addr, request, timeout, silence)?;
        let (_, _, reader) = response.split();
        Ok(ChunkStream::new(Box::new(reader), request.clone()))
    }

    fn load(&self, addr: &str) -> Result<LoadReport, CallError> {
        let response = base(Method::GET, addr, "/load", CONTROL_TIMEOUT)
            .send()
            .map_err(|e| failed(&e))?;
        check_status(response)?.json_utf8().map_err(|e| failed(&e))
    }

    fn order(&self, addr: &str, order: &Order) -> Result<(), CallError> {
        let response = base(Method::POST, addr, "/orders", CONTROL_TIMEOUT)
            .json(order)
            .map_err(|e| CallError::new(Fault::Rejected, e.to_string()))?
            .send()
            .map_err(|e| failed(&e))?;
        check_status(response).map(drop)
    }
}

fn base(method: Method, addr: &str, path: &str, timeout: Duration) -> RequestBuilder {
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
fn failed(error: &attohttpc::Error) -> CallError {
    let fault = match error.kind() {
        attohttpc::ErrorKind::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
            Fault::Unreachable
        }
        attohttpc::ErrorKind::Io(e) => return crate::stream::broken(e),
        _ => Fault::Truncated,
    };
    CallError::new(fault, error.to_string())
}
