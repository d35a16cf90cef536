//! The platform over HTTP: conditional requests on `/objects/NAME`, the list on `/boxes`.

use std::io;
use std::time::Duration;

use attohttpc::{Method, ProxySettings, RequestBuilder, Response, StatusCode};
use serde::Deserialize;

use crate::{
    BoxSource, Error, ErrorKind, Expect, Listing, Object, ObjectStore, PutOutcome, Result, Watched,
};

/// Extra time for the answer to a watch.
const WATCH_SLACK: Duration = Duration::from_millis(1_000);
/// Names per page of a listing.
const PAGE: usize = 500;

/// The platform behind a base URL.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    base_url: String,
    timeout: Duration,
}

impl HttpPlatform {
    /// A client of the platform at `base_url`; calls wait up to `timeout`.
    pub fn new(base_url: impl Into<String>, timeout: Duration) -> Self {
        Self {
            base_url: base_url.into(),
            timeout,
        }
    }

    fn request(&self, method: Method, path: &str, timeout: Duration) -> RequestBuilder {
        RequestBuilder::new(method, format!("{}{path}", self.base_url))
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(timeout)
            .read_timeout(timeout)
            .timeout(timeout)
    }

    fn object(&self, method: Method, name: &str) -> RequestBuilder {
        self.request(method, &format!("/objects/{name}"), self.timeout)
    }
}

impl ObjectStore for HttpPlatform {
    fn get(&self, name: &str) -> Result<Option<Object>> {
        let response = self
            .object(Method::GET, name)
            .send()
            .map_err(|e| lost(name, &e))?;
        match response.status() {
            StatusCode::OK => read_object(name, response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(name, status)),
        }
    }

    fn watch(&self, name: &str, after_revision: u64, wait_ms: u64) -> Result<Watched> {
        let timeout = Duration::from_millis(wait_ms) + WATCH_SLACK.max(self.timeout);
        let response = self
            .request(Method::GET, &format!("/objects/{name}"), timeout)
            .param("watch_after", after_revision)
            .param("wait_ms", wait_ms)
            .send()
            .map_err(|e| lost(name, &e))?;
        match response.status() {
            StatusCode::OK => read_object(name, response).map(Watched::Changed),
            StatusCode::NOT_MODIFIED => Ok(Watched::Unchanged),
            StatusCode::NOT_FOUND => Ok(Watched::Absent),
            status => Err(unexpected(name, status)),
        }
    }

    fn put(&self, name: &str, body: &[u8], expect: Expect) -> Result<PutOutcome> {
        let request = self.object(Method::PUT, name);
        let request = match expect {
            Expect::Absent => request.header("If-None-Match", "*"),
            Expect::Revision(revision) => request.header("If-Match", format!("\"{revision}\"")),
        };
        let response = request.bytes(body).send().map_err(|e| lost(name, &e))?;
        write_outcome(name, &response)
    }

    fn delete(&self, name: &str, revision: u64) -> Result<PutOutcome> {
        let response = self
            .object(Method::DELETE, name)
            .header("If-Match", format!("\"{revision}\""))
            .send()
            .map_err(|e| lost(name, &e))?;
        write_outcome(name, &response)
    }

    fn list(&self, prefix: &str, after: Option<&str>) -> Result<Listing> {
        let request = self
            .request(Method::GET, "/objects", self.timeout)
            .param("prefix", prefix)
            .param("limit", PAGE);
        let request = match after {
            Some(after) => request.param("after", after),
            None => request,
        };
        let response = request.send().map_err(|e| lost(prefix, &e))?;
        if response.status() != StatusCode::OK {
            return Err(unexpected(prefix, response.status()));
        }
        let page: Page = response
            .json_utf8()
            .map_err(|e| Error::new(ErrorKind::Invalid, format!("list {prefix}: {e}")))?;
        Ok(Listing {
            names: page.names,
            next_after: page.next_after,
        })
    }
}

impl BoxSource for HttpPlatform {
    fn boxes(&self) -> Result<Vec<u8>> {
        let response = self
            .request(Method::GET, "/boxes", self.timeout)
            .send()
            .map_err(|e| lost("box list", &e))?;
        match response.status() {
            StatusCode::OK => response.bytes().map_err(|e| lost("box list", &e)),
            status => Err(unexpected("box list", status)),
        }
    }
}

/// A page of names on the wire.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Page {
    names: Vec<String>,
    next_after: Option<String>,
}

fn read_object(name: &str, response: Response) -> Result<Object> {
    let revision = revision_of(name, &response)?;
    let body = response.bytes().map_err(|e| lost(name, &e))?;
    Ok(Object { body, revision })
}

fn revision_of(name: &str, response: &Response) -> Result<u64> {
    response
        .headers()
        .get("etag")
        .and_then(|tag| tag.to_str().ok())
        .and_then(|tag| tag.trim_matches('"').parse().ok())
        .ok_or_else(|| Error::new(ErrorKind::Invalid, format!("{name}: no revision in etag")))
}

fn write_outcome(name: &str, response: &Response) -> Result<PutOutcome> {
    match response.status() {
        StatusCode::OK | StatusCode::CREATED | StatusCode::NO_CONTENT => {
            let revision = revision_of(name, response)?;
            Ok(PutOutcome::Written { revision })
        }
        StatusCode::PRECONDITION_FAILED | StatusCode::NOT_FOUND => Ok(PutOutcome::Conflict),
        status => Err(unexpected(name, status)),
    }
}

#[cold]
fn unexpected(name: &str, status: StatusCode) -> Error {
    // A server error may come from behind the point where the write took effect.
    let kind = if status.is_client_error() {
        ErrorKind::Refused
    } else {
        ErrorKind::Unknown
    };
    Error::new(kind, format!("{name}: status {}", status.as_u16()))
}

#[cold]
fn lost(name: &str, error: &attohttpc::Error) -> Error {
    let refused = matches!(
        error.kind(),
        attohttpc::ErrorKind::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused
    );
    let kind = if refused {
        ErrorKind::Refused
    } else {
        ErrorKind::Unknown
    };
    Error::new(kind, format!("{name}: {error}"))
}
