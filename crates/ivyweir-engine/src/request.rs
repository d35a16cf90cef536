//! A completion request as engines read it.

use serde_json::{Map, Value, json};

/// A chat completion for one version.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion {
    version: String,
    request_id: String,
    body: Map<String, Value>,
    caller_wants_logprobs: bool,
}

impl Completion {
    /// A request for `version`; `body` is the caller's, with the fields this package does not know.
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

    /// Asks for token probabilities, whether the caller did or not.
    #[must_use]
    pub fn with_logprobs(mut self) -> Self {
        self.body.insert("logprobs".into(), Value::Bool(true));
        self
    }

    /// Asks for a stream with the usage in its last chunk.
    #[must_use]
    pub fn streamed(mut self) -> Self {
        self.body.insert("stream".into(), Value::Bool(true));
        let options = json!({ "include_usage": true });
        self.body.insert("stream_options".into(), options);
        self
    }

    /// Asks to go on behind `sent`, the text that the caller has already.
    ///
    /// Engines do that when the last message is the assistant's and is to be continued.
    #[must_use]
    pub fn continuing(mut self, sent: &str) -> Self {
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

    /// The version asked for.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// The id that the engine must give back.
    pub fn request_id(&self) -> &str {
        &self.request_id
    }

    /// The JSON body.
    pub fn body(&self) -> &Map<String, Value> {
        &self.body
    }

    /// Whether the caller asked for token probabilities.
    pub fn caller_wants_logprobs(&self) -> bool {
        self.caller_wants_logprobs
    }
}
