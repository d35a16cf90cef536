//! Completion requests in the format that engines accept.

use serde_json::{Map, Value, json};

/// A chat completion request for one version.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionRequest {
    version: String,
    request_id: String,
    body: Map<String, Value>,
    caller_wants_logprobs: bool,
}

impl CompletionRequest {
    /// Creates a request for `version`. `body` is the body of the caller's request; unknown fields
    /// are passed on to the engine.
    pub fn new(
        version: impl Into<String>,
        request_id: impl Into<String>,
        body: Map<String, Value>,
    ) -> Self {
        let version = version.into();
        let mut body = body;
        body.insert("model".into(), Value::from(version.as_str()));
        let caller_wants_logprobs = body.get("logprobs") == Some(&Value::Bool(true));
        Self {
            version,
            request_id: request_id.into(),
            body,
            caller_wants_logprobs,
        }
    }

    /// Requests token probabilities, regardless of whether the caller did.
    #[must_use]
    pub fn with_logprobs(mut self) -> Self {
        self.body.insert("logprobs".into(), Value::Bool(true));
        self
    }

    /// Requests a streamed response with the token usage in its last chunk.
    #[must_use]
    pub fn with_streaming(mut self) -> Self {
        self.body.insert("stream".into(), Value::Bool(true));
        let options = json!({ "include_usage": true });
        self.body.insert("stream_options".into(), options);
        self
    }

    /// Requests a continuation of `sent`, the text that the caller has already received.
    ///
    /// The text is appended as an assistant message, which the engine is told to continue. An empty
    /// text leaves the request unchanged.
    #[must_use]
    pub fn with_partial_response(mut self, sent: &str) -> Self {
        if sent.is_empty() {
            return self;
        }
        let partial = json!({ "role": "assistant", "content": sent });
        if let Some(Value::Array(messages)) = self.body.get_mut("messages") {
            messages.push(partial);
        }
        self.body
            .insert("continue_final_message".into(), Value::Bool(true));
        self.body
            .insert("add_generation_prompt".into(), Value::Bool(false));
        self
    }

    /// Returns the requested version.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// Returns the request id, which the id of the response must end with.
    pub fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Returns the JSON body.
    pub fn body(&self) -> &Map<String, Value> {
        &self.body
    }

    /// Returns whether the caller requested token probabilities.
    pub fn caller_wants_logprobs(&self) -> bool {
        self.caller_wants_logprobs
    }
}
