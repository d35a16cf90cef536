//! A caller with an ordinary HTTP client.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use attohttpc::{Method, ProxySettings, RequestBuilder};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(30);

/// A caller of one workspace at one box.
#[derive(Debug, Clone)]
pub struct Caller {
    base_url: String,
    key: String,
    headers: Vec<(String, String)>,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// The answer's text, or what there was of it.
    pub text: String,
    /// Whether the answer was whole.
    pub complete: bool,
    /// The refusal's code, if it was one.
    pub code: String,
    /// Whether a refused request has run: `not_run` or `unknown`.
    pub run: String,
    /// The version that answered.
    pub version: String,
    /// Tokens used.
    pub tokens: u64,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time to the end.
    pub total: Duration,
    /// Longest time between two tokens.
    pub longest_gap: Duration,
    /// When to come back, if the refusal said.
    pub retry_after_ms: Option<u64>,
    /// The body as it came.
    pub body: Value,
}

impl Caller {
    /// A caller at `base_url` with a workspace key.
    pub fn new(base_url: &str, key: &str) -> Self {
        Self {
            base_url: base_url.to_owned(),
            key: key.to_owned(),
            headers: Vec::new(),
        }
    }

    /// The same caller with one more header.
    #[must_use]
    pub fn with_header(&self, name: &str, value: &str) -> Self {
        let mut caller = self.clone();
        caller.headers.push((name.to_owned(), value.to_owned()));
        caller
    }

    /// The same caller with a request key and the mark that it may run at most once.
    #[must_use]
    pub fn at_most_once(&self, key: &str) -> Self {
        self.with_header("Idempotency-Key", key)
            .with_header("X-Ivyweir-Repeatable", "no")
    }

    /// A request on this box's API.
    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let mut request = RequestBuilder::new(method, format!("{}{path}", self.base_url))
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .bearer_auth(&self.key)
            .timeout(TIMEOUT);
        for (name, value) in &self.headers {
            let name: attohttpc::header::HeaderName = name.parse().expect("header names are valid");
            request = request.header(name, value.as_str());
        }
        request
    }

    /// Opens a session. Returns its token, or the refusal.
    ///
    /// # Errors
    ///
    /// The refusal's code.
    pub fn open_session(&self) -> Result<String, String> {
        let outcome = finish(
            self.request(Method::POST, "/v1/sessions").send(),
            Instant::now(),
        );
        match outcome.body.get("session").and_then(Value::as_str) {
            Some(token) => Ok(token.to_owned()),
            None => Err(outcome.code),
        }
    }

    /// The same caller in a session.
    #[must_use]
    pub fn in_session(&self, token: &str) -> Self {
        self.with_header("X-Ivyweir-Session", token)
    }

    /// Asks for a whole answer.
    pub fn chat(&self, model: &str, prompt: &str, max_tokens: u64) -> Outcome {
        let started = Instant::now();
        let body = chat_body(model, prompt, max_tokens, false);
        let request = self
            .request(Method::POST, "/v1/chat/completions")
            .json(&body);
        finish(request.and_then(|r| r.send()), started)
    }

    /// Asks for a stream.
    pub fn stream(&self, model: &str, prompt: &str, max_tokens: u64) -> Outcome {
        let started = Instant::now();
        let body = chat_body(model, prompt, max_tokens, true);
        let request = self
            .request(Method::POST, "/v1/chat/completions")
            .json(&body);
        match request.and_then(|r| r.send()) {
            Ok(response) if response.is_success() => read_stream(response, started),
            other => finish(other, started),
        }
    }

    /// Calls a plain service.
    pub fn service(&self, method: Method, path: &str, body: &str) -> Outcome {
        let started = Instant::now();
        finish(self.request(method, path).text(body).send(), started)
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

fn empty(status: u16, started: Instant) -> Outcome {
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

fn finish(sent: attohttpc::Result<attohttpc::Response>, started: Instant) -> Outcome {
    let Ok(response) = sent else {
        return empty(0, started);
    };
    let status = response.status().as_u16();
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let version = header("x-ivyweir-version");
    let retry_after_ms = header("retry-after-ms").parse().ok();
    let Ok(bytes) = response.bytes() else {
        return empty(0, started);
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
        ..empty(status, started)
    }
}

fn read_stream(response: attohttpc::Response, started: Instant) -> Outcome {
    let mut outcome = empty(200, started);
    let version = response
        .headers()
        .get("x-ivyweir-version")
        .and_then(|v| v.to_str().ok());
    outcome.version = version.unwrap_or_default().to_owned();
    let (_, _, reader) = response.split();
    let mut last = None;
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
            match last {
                None => outcome.first_token = started.elapsed(),
                Some(last) => outcome.longest_gap = outcome.longest_gap.max(now - last),
            }
            last = Some(now);
            outcome.tokens += 1;
            outcome.text.push_str(word);
        }
    }
    outcome.total = started.elapsed();
    outcome
}
