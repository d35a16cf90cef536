//! HTTP client of the platform: conditional requests on `/objects/NAME`, the box list on `/boxes`.

use std::io;
use std::time::{Duration, Instant};

use attohttpc::{Method, ProxySettings, RequestBuilder, Response, StatusCode};
use ivyweir_body::BodyReader;
use serde::Deserialize;

use crate::{
    BoxListSource, Error, ErrorKind, Listing, Object, ObjectStore, Precondition, PutOutcome,
    Result, WatchOutcome,
};

/// Minimum time added to a watch's wait time to get its request timeout.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);
/// Maximum number of names requested per page of a listing.
const LIST_PAGE_SIZE: usize = 500;

/// A client of the platform at a base URL.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    base_url: String,
    timeout: Duration,
    bodies: BodyReader,
}

impl HttpPlatform {
    /// Creates a client of the platform at `base_url`.
    ///
    /// `timeout` limits each call; a watch may take its wait time in addition.
    pub fn new(base_url: impl Into<String>, timeout: Duration) -> Self {
        Self {
            base_url: base_url.into(),
            timeout,
            bodies: BodyReader::default(),
        }
    }

    fn read_body(&self, name: &str, response: Response) -> Result<Vec<u8>> {
        let deadline = Instant::now() + self.timeout;
        let (_, _, reader) = response.split();
        self.bodies
            .read(reader, deadline)
            .map_err(|e| Error::new(ErrorKind::OutcomeUnknown, format!("{name}: {e}")))
    }

    fn read_object(&self, name: &str, response: Response) -> Result<Object> {
        let revision = parse_revision(name, &response)?;
        let body = self.read_body(name, response)?;
        Ok(Object { body, revision })
    }

    fn request(&self, method: Method, path: &str, timeout: Duration) -> RequestBuilder {
        RequestBuilder::new(method, format!("{}{path}", self.base_url))
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(timeout)
            .read_timeout(timeout)
            .timeout(timeout)
    }

    fn object_request(&self, method: Method, name: &str) -> RequestBuilder {
        self.request(method, &format!("/objects/{name}"), self.timeout)
    }
}

impl ObjectStore for HttpPlatform {
    fn get(&self, name: &str) -> Result<Option<Object>> {
        let response = self
            .object_request(Method::GET, name)
            .send()
            .map_err(|e| transport_error(name, &e))?;
        match response.status() {
            StatusCode::OK => self.read_object(name, response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected_status(name, status)),
        }
    }

    fn watch(&self, name: &str, known_revision: u64, wait_ms: u64) -> Result<WatchOutcome> {
        let timeout = Duration::from_millis(wait_ms) + WATCH_TIMEOUT_MARGIN.max(self.timeout);
        let response = self
            .request(Method::GET, &format!("/objects/{name}"), timeout)
            .param("watch_after", known_revision)
            .param("wait_ms", wait_ms)
            .send()
            .map_err(|e| transport_error(name, &e))?;
        match response.status() {
            StatusCode::OK => self.read_object(name, response).map(WatchOutcome::Changed),
            StatusCode::NOT_MODIFIED => Ok(WatchOutcome::Unchanged),
            StatusCode::NOT_FOUND => Ok(WatchOutcome::Absent),
            status => Err(unexpected_status(name, status)),
        }
    }

    fn put(&self, name: &str, body: &[u8], precondition: Precondition) -> Result<PutOutcome> {
        let request = self.object_request(Method::PUT, name);
        let request = match precondition {
            Precondition::Absent => request.header("If-None-Match", "*"),
            Precondition::Revision(revision) => {
                request.header("If-Match", format!("\"{revision}\""))
            }
        };
        let response = request
            .bytes(body)
            .send()
            .map_err(|e| transport_error(name, &e))?;
        parse_write_outcome(name, &response)
    }

    fn delete(&self, name: &str, revision: u64) -> Result<PutOutcome> {
        let response = self
            .object_request(Method::DELETE, name)
            .header("If-Match", format!("\"{revision}\""))
            .send()
            .map_err(|e| transport_error(name, &e))?;
        parse_write_outcome(name, &response)
    }

    fn list(&self, prefix: &str, after: Option<&str>) -> Result<Listing> {
        let request = self
            .request(Method::GET, "/objects", self.timeout)
            .param("prefix", prefix)
            .param("limit", LIST_PAGE_SIZE);
        let request = match after {
            Some(after) => request.param("after", after),
            None => request,
        };
        let response = request.send().map_err(|e| transport_error(prefix, &e))?;
        if response.status() != StatusCode::OK {
            return Err(unexpected_status(prefix, response.status()));
        }
        let bytes = self.read_body(prefix, response)?;
        let listing: ListResponse = serde_json::from_slice(&bytes)
            .map_err(|e| Error::new(ErrorKind::InvalidResponse, format!("list {prefix}: {e}")))?;
        Ok(Listing {
            names: listing.names,
            next_after: listing.next_after,
        })
    }
}

impl BoxListSource for HttpPlatform {
    fn box_list(&self) -> Result<Vec<u8>> {
        let response = self
            .request(Method::GET, "/boxes", self.timeout)
            .send()
            .map_err(|e| transport_error("box list", &e))?;
        match response.status() {
            StatusCode::OK => self.read_body("box list", response),
            status => Err(unexpected_status("box list", status)),
        }
    }
}

/// A page of object names as sent by the platform.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ListResponse {
    names: Vec<String>,
    next_after: Option<String>,
}

fn parse_revision(name: &str, response: &Response) -> Result<u64> {
    response
        .headers()
        .get("etag")
        .and_then(|tag| tag.to_str().ok())
        .and_then(|tag| tag.trim_matches('"').parse().ok())
        .ok_or_else(|| {
            Error::new(
                ErrorKind::InvalidResponse,
                format!("{name}: no revision in etag"),
            )
        })
}

fn parse_write_outcome(name: &str, response: &Response) -> Result<PutOutcome> {
    match response.status() {
        StatusCode::OK | StatusCode::CREATED | StatusCode::NO_CONTENT => {
            let revision = parse_revision(name, response)?;
            Ok(PutOutcome::Written { revision })
        }
        StatusCode::PRECONDITION_FAILED | StatusCode::NOT_FOUND => Ok(PutOutcome::Conflict),
        status => Err(unexpected_status(name, status)),
    }
}

#[cold]
fn unexpected_status(name: &str, status: StatusCode) -> Error {
    // The platform can fail with a server error after the write has taken effect.
    let kind = if status.is_client_error() {
        ErrorKind::Refused
    } else {
        ErrorKind::OutcomeUnknown
    };
    Error::new(kind, format!("{name}: status {}", status.as_u16()))
}

#[cold]
fn transport_error(name: &str, error: &attohttpc::Error) -> Error {
    let refused = matches!(
        error.kind(),
        attohttpc::ErrorKind::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused
    );
    let kind = if refused {
        ErrorKind::Refused
    } else {
        ErrorKind::OutcomeUnknown
    };
    Error::new(kind, format!("{name}: {error}"))
}
