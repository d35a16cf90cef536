//! The client of the operator API.

use std::fmt;
use std::time::Duration;

use attohttpc::{Method, ProxySettings, RequestBuilder};
use ivyweir_policy::billing::Bill;
use ivyweir_policy::{AuditEntry, Config, Intent, Plan};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{ConfirmReply, PlanCheck, Problem, Status};

const TIMEOUT: Duration = Duration::from_secs(15);

/// A call to a box that was not answered as hoped.
#[derive(Debug)]
pub struct Error {
    status: Option<u16>,
    detail: String,
}

/// The result of a call.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// The HTTP status, if the box answered at all.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// Whether the box refused the call for what it said, so that a repeat is of no use.
    pub fn is_refusal(&self) -> bool {
        self.status.is_some_and(|s| (400..500).contains(&s))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Error {}

/// Calls one box in an operator's name.
#[derive(Clone)]
pub struct Client {
    base_url: String,
    key: String,
}

impl Client {
    /// A client of the box at `base_url`.
    pub fn new(base_url: impl Into<String>, key: impl Into<String>) -> Self {
        Self {
            base_url: base_url.into(),
            key: key.into(),
        }
    }

    /// Asks for a plan.
    ///
    /// # Errors
    ///
    /// When the intent does not fit, or the box does not answer; so for all calls here.
    pub fn plan(&self, intent: &Intent) -> Result<Plan> {
        self.post("/v1/plans", intent)
    }

    /// Asks whether a plan is genuine and still fits.
    ///
    /// # Errors
    ///
    /// See [`plan`](Self::plan).
    pub fn check(&self, plan: &Plan) -> Result<PlanCheck> {
        self.post("/v1/plans/check", plan)
    }

    /// Confirms a plan.
    ///
    /// # Errors
    ///
    /// See [`plan`](Self::plan).
    pub fn confirm(&self, plan: &Plan) -> Result<ConfirmReply> {
        self.post("/v1/plans/confirm", plan)
    }

    /// The system as this box sees it.
    ///
    /// # Errors
    ///
    /// See [`plan`](Self::plan).
    pub fn status(&self) -> Result<Status> {
        self.get("/v1/status")
    }

    /// The configuration, without secrets.
    ///
    /// # Errors
    ///
    /// See [`plan`](Self::plan).
    pub fn config(&self) -> Result<Config> {
        self.get("/v1/config")
    }

    /// All audit entries, oldest first.
    ///
    /// # Errors
    ///
    /// See [`plan`](Self::plan).
    pub fn audit(&self) -> Result<Vec<AuditEntry>> {
        self.get("/v1/audit")
    }

    /// The bill of all that is in the store.
    ///
    /// # Errors
    ///
    /// See [`plan`](Self::plan).
    pub fn bill(&self) -> Result<Bill> {
        self.get("/v1/bill")
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        read(self.request(Method::GET, path).send())
    }

    fn post<Q: Serialize, T: DeserializeOwned>(&self, path: &str, message: &Q) -> Result<T> {
        let request = self.request(Method::POST, path).json(message);
        read(request.and_then(|r| r.send()))
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        RequestBuilder::new(method, format!("{}{path}", self.base_url))
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .bearer_auth(&self.key)
            .timeout(TIMEOUT)
    }
}

fn read<T: DeserializeOwned>(sent: attohttpc::Result<attohttpc::Response>) -> Result<T> {
    let response = sent.map_err(|e| unanswered(&e))?;
    let status = response.status();
    let bytes = response.bytes().map_err(|e| unanswered(&e))?;
    if !status.is_success() {
        return Err(refused(status.as_u16(), &bytes));
    }
    serde_json::from_slice(&bytes).map_err(|e| Error {
        status: Some(status.as_u16()),
        detail: format!("answer: {e}"),
    })
}

#[cold]
fn unanswered(error: &attohttpc::Error) -> Error {
    Error {
        status: None,
        detail: error.to_string(),
    }
}

#[cold]
fn refused(status: u16, body: &[u8]) -> Error {
    let detail = match serde_json::from_slice::<Problem>(body) {
        Ok(problem) => problem.problem,
        Err(_) => format!("status {status}"),
    };
    Error {
        status: Some(status),
        detail,
    }
}
