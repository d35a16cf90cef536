//! HTTP client of the operator API.

use std::fmt;
use std::time::{Duration, Instant};

use attohttpc::{Method, ProxySettings, RequestBuilder};
use ivyweir_body::{BodyLimits, BodyReader};
use ivyweir_policy::billing::Bill;
use ivyweir_policy::{AuditEntry, Config, Intent, Plan};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{ConfirmReply, ErrorBody, PlanCheck, Status};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Bounds on a response. An audit of many changes is large, and the command line reads one response at a time.
const BODY_LIMITS: BodyLimits = BodyLimits {
    large_body_bytes: 256 << 10,
    max_body_bytes: 64 << 20,
    max_large_bodies: 1,
};

/// A failed call to a box.
#[derive(Debug)]
pub struct Error {
    status: Option<u16>,
    detail: String,
}

/// The result of a call to a box.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// The HTTP status, or `None` if no response was received.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// Whether the box rejected the request itself (4xx), so that retrying it unchanged is of no use.
    pub fn is_client_error(&self) -> bool {
        self.status.is_some_and(|s| (400..500).contains(&s))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Error {}

/// A client that calls one box with an operator's key.
#[derive(Clone)]
pub struct Client {
    base_url: String,
    key: String,
}

impl Client {
    /// Creates a client of the box at `base_url` that authenticates with the operator key `key`.
    pub fn new(base_url: impl Into<String>, key: impl Into<String>) -> Self {
        Self {
            base_url: base_url.into(),
            key: key.into(),
        }
    }

    /// Requests a plan for `intent`.
    ///
    /// # Errors
    ///
    /// If the box rejects the request, for example because the intent does not apply to the
    /// configuration, or if it does not respond. The same holds for all other calls.
    pub fn plan(&self, intent: &Intent) -> Result<Plan> {
        self.post("/v1/plans", intent)
    }

    /// Checks whether a plan is genuine, already applied, and still applicable.
    ///
    /// # Errors
    ///
    /// See [`plan`](Self::plan).
    pub fn check(&self, plan: &Plan) -> Result<PlanCheck> {
        self.post("/v1/plans/check", plan)
    }

    /// Confirms a plan, which puts its changes into effect.
    ///
    /// # Errors
    ///
    /// See [`plan`](Self::plan).
    pub fn confirm(&self, plan: &Plan) -> Result<ConfirmReply> {
        self.post("/v1/plans/confirm", plan)
    }

    /// Returns the state of the system as seen by this box.
    ///
    /// # Errors
    ///
    /// See [`plan`](Self::plan).
    pub fn status(&self) -> Result<Status> {
        self.get("/v1/status")
    }

    /// Returns the configuration with its secrets masked.
    ///
    /// # Errors
    ///
    /// See [`plan`](Self::plan).
    pub fn config(&self) -> Result<Config> {
        self.get("/v1/config")
    }

    /// Returns all audit entries, oldest first.
    ///
    /// # Errors
    ///
    /// See [`plan`](Self::plan).
    pub fn audit(&self) -> Result<Vec<AuditEntry>> {
        self.get("/v1/audit")
    }

    /// Returns the bill over all billing records in the store.
    ///
    /// # Errors
    ///
    /// See [`plan`](Self::plan).
    pub fn bill(&self) -> Result<Bill> {
        self.get("/v1/bill")
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        decode_response(self.request(Method::GET, path).send())
    }

    fn post<Q: Serialize, T: DeserializeOwned>(&self, path: &str, message: &Q) -> Result<T> {
        let request = self.request(Method::POST, path).json(message);
        decode_response(request.and_then(|r| r.send()))
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        RequestBuilder::new(method, format!("{}{path}", self.base_url))
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .bearer_auth(&self.key)
            .timeout(REQUEST_TIMEOUT)
    }
}

fn decode_response<T: DeserializeOwned>(
    result: attohttpc::Result<attohttpc::Response>,
) -> Result<T> {
    let response = result.map_err(|e| transport_error(&e))?;
    let status = response.status();
    let (_, _, reader) = response.split();
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let body = BodyReader::new(BODY_LIMITS).read(reader, deadline);
    let bytes = body.map_err(|e| Error {
        status: None,
        detail: e.to_string(),
    })?;
    if !status.is_success() {
        return Err(error_response(status.as_u16(), &bytes));
    }
    serde_json::from_slice(&bytes).map_err(|e| Error {
        status: Some(status.as_u16()),
        detail: format!("invalid response body: {e}"),
    })
}

#[cold]
fn transport_error(error: &attohttpc::Error) -> Error {
    Error {
        status: None,
        detail: error.to_string(),
    }
}

#[cold]
fn error_response(status: u16, body: &[u8]) -> Error {
    let detail = match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => body.message,
        Err(_) => format!("HTTP status {status}"),
    };
    Error {
        status: Some(status),
        detail,
    }
}
