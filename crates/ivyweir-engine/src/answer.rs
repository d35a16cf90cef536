//! Whole answers, and the check that they are.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{CallError, Completion, Fault};

/// Tokens that a call read and generated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens read.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u64,
    /// The sum.
    #[serde(default)]
    pub total_tokens: u64,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The engine's JSON body, for the caller.
    pub body: Map<String, Value>,
    /// The text.
    pub text: String,
    /// What it used.
    pub usage: Usage,
    /// Mean probability of its tokens, 0 to 1, if the engine said.
    pub confidence: Option<f64>,
}

impl Answer {
    /// Reads an engine's answer to `request` and checks that it is whole.
    ///
    /// # Errors
    ///
    /// [`Fault::Truncated`] or [`Fault::Mismatched`].
    pub fn check(request: &Completion, bytes: &[u8]) -> Result<Self, CallError> {
        let mut body: Map<String, Value> = serde_json::from_slice(bytes)
            .map_err(|e| CallError::new(Fault::Truncated, format!("answer: {e}")))?;
        check_identity(request, &body)?;
        let usage = read_usage(&body)
            .ok_or_else(|| CallError::new(Fault::Truncated, "answer without usage"))?;
        let choice = body
            .get_mut("choices")
            .and_then(|c| c.get_mut(0))
            .ok_or_else(|| CallError::new(Fault::Truncated, "answer without a choice"))?;
        if choice
            .get("finish_reason")
            .and_then(Value::as_str)
            .is_none()
        {
            return Err(CallError::new(
                Fault::Truncated,
                "answer without a finish reason",
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

/// Checks that a body is for this request and of the version asked for.
pub(crate) fn check_identity(
    request: &Completion,
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
        "answer {id:?} of {model:?} to request {:?} for {:?}",
        request.request_id(),
        request.version()
    );
    Err(CallError::new(Fault::Mismatched, detail))
}

pub(crate) fn read_usage(body: &Map<String, Value>) -> Option<Usage> {
    let usage = body.get("usage").filter(|u| !u.is_null())?;
    Usage::deserialize(usage).ok()
}

/// The geometric mean of the token probabilities.
fn mean_probability(choice: &Value) -> Option<f64> {
    let tokens = choice.pointer("/logprobs/content")?.as_array()?;
    let logs: Vec<f64> = tokens
        .iter()
        .filter_map(|t| t.get("logprob")?.as_f64())
        .collect();
    let mean = logs.iter().sum::<f64>() / logs.len() as f64;
    mean.is_finite().then(|| mean.exp())
}
