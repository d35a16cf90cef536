//! A client of the caller API, on top of a general-purpose HTTP client.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use attohttpc::{Method, ProxySettings, RequestBuilder};
use serde_json::{Value, json};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A client that calls one box with the key of one workspace.
#[derive(Debug, Clone)]
pub struct Caller {
    base_url: String,
    key: String,
    headers: Vec<(String, String)>,
}

/// The result of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// HTTP status, or 0 if no response was received.
    pub status: u16,
    /// The generated text; partial if the response is not complete.
    pub text: String,
    /// Whether the response was received completely.
    pub complete: bool,
    /// Error code, or an empty string.
    pub code: String,
    /// Whether a failed request was executed: `not_run`, `unknown`, or an empty string.
    pub run: String,
    /// The model version that generated the response.
    pub version: String,
    /// Number of tokens: the reported usage, or the number of events received if streaming.
    pub tokens: u64,
    /// Time to the first token; for a response that is not streamed, the total time.
    pub first_token: Duration,
    /// Time to the end of the response.
    pub total: Duration,
    /// Longest time between two consecutive tokens.
    pub longest_gap: Duration,
    /// Value of the `Retry-After-Ms` header.
    pub retry_after_ms: Option<u64>,
    /// The JSON body; null if streaming or if the body is not JSON.
    pub body: Value,
}

impl Caller {
    /// Creates a client for `base_url` that authenticates with a workspace key.
    pub fn new(base_url: &str, key: &str) -> Self {
        Self {
            base_url: base_url.to_owned(),
            key: key.to_owned(),
            headers: Vec::new(),
        }
    }

    /// Returns a copy of the client that sends an additional header.
    #[must_use]
    pub fn with_header(&self, name: &str, value: &str) -> Self {
        let mut caller = self.clone();
        caller.headers.push((name.to_owned(), value.to_owned()));
        caller
    }

    /// Returns a copy of the client that sends an idempotency key and marks its requests as not
    /// repeatable.
    #[must_use]
    pub fn at_most_once(&self, key: &str) -> Self {
        self.with_header("Idempotency-Key", key)
            .with_header("X-Ivyweir-Repeatable", "no")
    }

    /// Creates a request to the box.
    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let mut request = RequestBuilder::new(method, format!("{}{path}", self.base_url))
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .bearer_auth(&self.key)
            .timeout(REQUEST_TIMEOUT);
        for (name, value) in &self.headers {
            let name: attohttpc::header::HeaderName = name.parse().expect("header names are valid");
            request = request.header(name, value.as_str());
        }
        request
    }

    /// Opens a session and returns its token.
    ///
    /// # Errors
    ///
    /// Returns the error code of the response.
    pub fn open_session(&self) -> Result<String, String> {
        let outcome = into_outcome(
            self.request(Method::POST, "/v1/sessions").send(),
            Instant::now(),
        );
        match outcome.body.get("session").and_then(Value::as_str) {
            Some(token) => Ok(token.to_owned()),
            None => Err(outcome.code),
        }
    }

    /// Returns a copy of the client that sends its requests within a session.
    #[must_use]
    pub fn in_session(&self, token: &str) -> Self {
        self.with_header("X-Ivyweir-Session", token)
    }

    /// Sends a chat completion request that is not streamed.
    pub fn chat(&self, model: &str, prompt: &str, max_tokens: u64) -> Outcome {
        let started = Instant::now();
        let body = chat_body(model, prompt, max_tokens, false);
        let request = self
            .request(Method::POST, "/v1/chat/completions")
            .json(&body);
        into_outcome(request.and_then(|r| r.send()), started)
    }

    /// Sends a chat completion request and reads the streamed response.
    pub fn stream(&self, model: &str, prompt: &str, max_tokens: u64) -> Outcome {
        let started = Instant::now();
        let body = chat_body(model, prompt, max_tokens, true);
        let request = self
            .request(Method::POST, "/v1/chat/completions")
            .json(&body);
        match request.and_then(|r| r.send()) {
            Ok(response) if response.is_success() => read_stream(response, started),
            other => into_outcome(other, started),
        }
    }

    /// Sends a request to a service.
    pub fn service(&self, method: Method, path: &str, body: &str) -> Outcome {
        let started = Instant::now();
        into_outcome(self.request(method, path).text(body).send(), started)
    }
}

fn chat_body(model: &str, prompt: &str, max_tokens: u64, stream: bool) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": max_tokens,
        "stream": stream,
        "user": prompt,
    })
}

fn empty_outcome(status: u16, started: Instant) -> Outcome {
    Outcome {
        status,
        text: String::new(),
        complete: false,
        code: String::new(),
        run: String::new(),
        version: String::new(),
        tokens: 0,
        first_token: started.elapsed(),
        total: started.elapsed(),
        longest_gap: Duration::ZERO,
        retry_after_ms: None,
        body: Value::Null,
    }
}

fn into_outcome(sent: attohttpc::Result<attohttpc::Response>, started: Instant) -> Outcome {
    let Ok(response) = sent else {
        return empty_outcome(0, started);
    };
    let status = response.status().as_u16();
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let version = header("x-ivyweir-version");
    let retry_after_ms = header("retry-after-ms").parse().ok();
    let Ok(bytes) = response.bytes() else {
        return empty_outcome(0, started);
    };
    let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
    let text = |at: &str| {
        let found = body.pointer(at).and_then(Value::as_str);
        found.unwrap_or_default().to_owned()
    };
    Outcome {
        text: text("/choices/0/message/content"),
        complete: status == 200,
        code: text("/error/code"),
        run: text("/error/run"),
        version,
        tokens: body
            .pointer("/usage/total_tokens")
            .and_then(Value::as_u64)
            .unwrap_or(0),
        retry_after_ms,
        body,
        ..empty_outcome(status, started)
    }
}

fn read_stream(response: attohttpc::Response, started: Instant) -> Outcome {
    let mut outcome = empty_outcome(200, started);
    let version = response
        .headers()
        .get("x-ivyweir-version")
        .and_then(|v| v.to_str().ok());
    outcome.version = version.unwrap_or_default().to_owned();
    let (_, _, reader) = response.split();
    let mut last_token_at = None;
    let mut has_finish = false;
    for line in BufReader::new(reader).lines() {
        let Ok(line) = line else {
            break;
        };
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            outcome.complete = has_finish;
            break;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(code) = event.pointer("/error/code").and_then(Value::as_str) {
            outcome.code = code.to_owned();
            let run = event.pointer("/error/run").and_then(Value::as_str);
            outcome.run = run.unwrap_or_default().to_owned();
        }
        has_finish |= event
            .pointer("/choices/0/finish_reason")
            .is_some_and(|r| !r.is_null());
        if let Some(word) = event
            .pointer("/choices/0/delta/content")
            .and_then(Value::as_str)
        {
            let now = Instant::now();
            match last_token_at {
                None => outcome.first_token = started.elapsed(),
                Some(last_token_at) => {
                    outcome.longest_gap = outcome.longest_gap.max(now - last_token_at)
                }
            }
            last_token_at = Some(now);
            outcome.tokens += 1;
            outcome.text.push_str(word);
        }
    }
    outcome.total = started.elapsed();
    outcome
}
