//! Complete responses of an engine, and their validation.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{CallError, CompletionRequest, Fault};

/// Token usage of a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Sum of prompt and completion tokens, as reported by the engine.
    #[serde(default)]
    pub total_tokens: u64,
}

/// A complete response.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionResponse {
    /// The JSON body that is passed on to the caller.
    pub body: Map<String, Value>,
    /// Text of the generated message.
    pub text: String,
    /// Token usage of the call.
    pub usage: Usage,
    /// Geometric mean of the token probabilities, from 0 to 1, if the engine returned any.
    pub confidence: Option<f64>,
}

impl CompletionResponse {
    /// Parses the response to `request` and checks that it is complete and belongs to the request.
    ///
    /// Token probabilities are removed from the body if the caller did not ask for them.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Truncated`] if the response is malformed or incomplete, and
    /// [`Fault::Mismatched`] if its id or model does not match the request.
    pub fn from_slice(request: &CompletionRequest, bytes: &[u8]) -> Result<Self, CallError> {
        let mut body: Map<String, Value> = serde_json::from_slice(bytes)
            .map_err(|e| CallError::new(Fault::Truncated, format!("response: {e}")))?;
        check_identity(request, &body)?;
        let usage = parse_usage(&body)
            .ok_or_else(|| CallError::new(Fault::Truncated, "response has no usage"))?;
        let choice = body
            .get_mut("choices")
            .and_then(|c| c.get_mut(0))
            .ok_or_else(|| CallError::new(Fault::Truncated, "response has no choices"))?;
        if choice
            .get("finish_reason")
            .and_then(Value::as_str)
            .is_none()
        {
            return Err(CallError::new(
                Fault::Truncated,
                "response has no finish reason",
            ));
        }
        let text = choice.pointer("/message/content").and_then(Value::as_str);
        let text = text.unwrap_or_default().to_owned();
        let confidence = mean_probability(choice);
        if !request.caller_wants_logprobs()
            && let Some(fields) = choice.as_object_mut()
        {
            fields.remove("logprobs");
        }
        Ok(Self {
            body,
            text,
            usage,
            confidence,
        })
    }
}

/// Checks that the id and model of a response body match the request.
pub(crate) fn check_identity(
    request: &CompletionRequest,
    body: &Map<String, Value>,
) -> Result<(), CallError> {
    let id = body.get("id").and_then(Value::as_str).unwrap_or_default();
    let model = body
        .get("model")
        .and_then(Value::as_str)
        .unwrap_or_default();
    if id.ends_with(request.request_id()) && model == request.version() {
        return Ok(());
    }
    let detail = format!(
        "response has id {id:?} and model {model:?}, expected an id ending with {:?} and model {:?}",
        request.request_id(),
        request.version()
    );
    Err(CallError::new(Fault::Mismatched, detail))
}

pub(crate) fn parse_usage(body: &Map<String, Value>) -> Option<Usage> {
    let usage = body.get("usage").filter(|u| !u.is_null())?;
    Usage::deserialize(usage).ok()
}

/// Returns the geometric mean of the token probabilities.
fn mean_probability(choice: &Value) -> Option<f64> {
    let tokens = choice.pointer("/logprobs/content")?.as_array()?;
    let logprobs: Vec<f64> = tokens
        .iter()
        .filter_map(|t| t.get("logprob")?.as_f64())
        .collect();
    let mean = logprobs.iter().sum::<f64>() / logprobs.len() as f64;
    mean.is_finite().then(|| mean.exp())
}
