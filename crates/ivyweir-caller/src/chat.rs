//! Chat completion requests and the response of the model list.

use ivyweir_policy::{Code, Refusal};
use serde::Serialize;
use serde_json::{Map, Value};

/// A validated chat completion request: the fields used for routing, and the unmodified body.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatRequest {
    /// The requested version or model, or the alias `auto`.
    pub model: String,
    /// Whether the caller requests a streamed response.
    pub stream: bool,
    /// Maximum number of completion tokens, if the caller set one.
    pub max_tokens: Option<u64>,
    /// The complete request body, including the fields above.
    pub body: Map<String, Value>,
}

impl ChatRequest {
    /// Parses and validates a request body.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the name of the invalid field and the expected value.
    pub fn from_slice(bytes: &[u8]) -> Result<Self, Refusal> {
        let body: Map<String, Value> = serde_json::from_slice(bytes)
            .map_err(|e| malformed(&format!("body: {e}, expected a JSON object")))?;
        let model = body
            .get("model")
            .and_then(Value::as_str)
            .filter(|m| !m.is_empty())
            .ok_or_else(|| malformed("model: expected a string"))?
            .to_owned();
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(malformed("stream: expected true or false")),
        };
        check_messages(&body)?;
        check_single_choice(&body)?;
        let max_tokens = parse_max_tokens(&body)?;
        Ok(Self {
            model,
            stream,
            max_tokens,
            body,
        })
    }

    /// Returns the contents of all messages, separated by line feeds. Prefix affinity and rating
    /// use it.
    pub fn prompt(&self) -> String {
        let messages = self.body.get("messages").and_then(Value::as_array);
        let contents = messages
            .into_iter()
            .flatten()
            .filter_map(|m| m.get("content"));
        let texts: Vec<String> = contents
            .map(|c| match c {
                Value::String(text) => text.clone(),
                other => other.to_string(),
            })
            .collect();
        texts.join("\n")
    }

    /// Returns whether the caller requests the token usage at the end of a stream.
    pub fn wants_usage(&self) -> bool {
        let options = self.body.get("stream_options");
        options.and_then(|o| o.get("include_usage")) == Some(&Value::Bool(true))
    }
}

fn check_messages(body: &Map<String, Value>) -> Result<(), Refusal> {
    let messages = body
        .get("messages")
        .and_then(Value::as_array)
        .filter(|m| !m.is_empty())
        .ok_or_else(|| malformed("messages: expected a non-empty list"))?;
    for (index, message) in messages.iter().enumerate() {
        if message.get("role").and_then(Value::as_str).is_none() {
            return Err(malformed(&format!(
                "messages[{index}].role: expected a string"
            )));
        }
    }
    Ok(())
}

fn check_single_choice(body: &Map<String, Value>) -> Result<(), Refusal> {
    match body.get("n") {
        None | Some(Value::Null) => Ok(()),
        Some(n) if n.as_u64() == Some(1) => Ok(()),
        Some(_) => Err(malformed("n: expected 1")),
    }
}

fn parse_max_tokens(body: &Map<String, Value>) -> Result<Option<u64>, Refusal> {
    let value = body
        .get("max_completion_tokens")
        .or_else(|| body.get("max_tokens"))
        .filter(|v| !v.is_null());
    match value {
        None => Ok(None),
        Some(max_tokens) => max_tokens
            .as_u64()
            .filter(|&n| n > 0)
            .map(Some)
            .ok_or_else(|| malformed("max_tokens: expected a positive integer")),
    }
}

#[cold]
fn malformed(message: &str) -> Refusal {
    Refusal::not_run(Code::Malformed, message)
}

/// The response to `GET /v1/models`.
#[derive(Debug, Clone, Serialize)]
pub struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Debug, Clone, Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

impl ModelList {
    /// Creates a list with one entry per id.
    pub fn new(ids: impl IntoIterator<Item = String>) -> Self {
        let entry = |id| ModelEntry {
            id,
            object: "model",
            created: 0,
            owned_by: "ivyweir",
        };
        Self {
            object: "list",
            data: ids.into_iter().map(entry).collect(),
        }
    }

    /// Serializes the list as JSON.
    pub fn to_vec(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a model list is always valid JSON")
    }
}
