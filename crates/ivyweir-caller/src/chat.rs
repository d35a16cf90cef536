//! Chat completion requests and the model list.

use ivyweir_policy::{Code, Refusal};
use serde::Serialize;
use serde_json::{Map, Value};

/// A chat completion request: the fields that decide about it, and the rest as it came.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatRequest {
    /// A version, a model, or the alias `auto`.
    pub model: String,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Tokens the answer may have, if the caller said.
    pub max_tokens: Option<u64>,
    /// The whole body.
    pub body: Map<String, Value>,
}

impl ChatRequest {
    /// Reads a request body.
    ///
    /// # Errors
    ///
    /// A refusal that names the field and what was expected.
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
        let max_tokens = read_max_tokens(&body)?;
        Ok(Self {
            model,
            stream,
            max_tokens,
            body,
        })
    }

    /// The text of all messages, for prefixes and ratings.
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

    /// Whether the caller wants the usage at the end of a stream.
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
        .ok_or_else(|| malformed("messages: expected a list with one message or more"))?;
    for (at, message) in messages.iter().enumerate() {
        if message.get("role").and_then(Value::as_str).is_none() {
            return Err(malformed(&format!(
                "messages[{at}].role: expected a string"
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

fn read_max_tokens(body: &Map<String, Value>) -> Result<Option<u64>, Refusal> {
    let given = body
        .get("max_completion_tokens")
        .or_else(|| body.get("max_tokens"))
        .filter(|v| !v.is_null());
    match given {
        None => Ok(None),
        Some(value) => value
            .as_u64()
            .filter(|&n| n > 0)
            .map(Some)
            .ok_or_else(|| malformed("max_tokens: expected a whole number over 0")),
    }
}

#[cold]
fn malformed(message: &str) -> Refusal {
    Refusal::not_run(Code::Malformed, message)
}

/// The answer to a model listing.
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
    /// A list of these ids.
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

    /// The JSON bytes.
    pub fn to_vec(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a model list is always valid JSON")
    }
}
