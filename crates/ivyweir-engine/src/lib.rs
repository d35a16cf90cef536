//! Client of model engines: completions, streams, load reports and orders with fencing tokens.
//!
//! A response is accepted only if it is complete: its id must end with the request id, its model
//! must be the requested version, and it must have a finish reason. Any other outcome is a
//! [`CallError`], which tells whether the engine may have executed the call.
//!
//! ```no_run
//! use std::time::Duration;
//! use ivyweir_engine::{CompletionRequest, Engine, HttpEngine};
//!
//! let engine = HttpEngine::default();
//! let request = CompletionRequest::new("notes@v1", "req-1", serde_json::Map::new());
//! let response = engine.complete("127.0.0.1:8000", &request, Duration::from_secs(30))?;
//! println!("{} tokens", response.usage.total_tokens);
//! # Ok::<(), ivyweir_engine::CallError>(())
//! ```

mod error;
mod http;
mod request;
mod response;
mod stream;

pub use error::{CallError, Fault};
pub use http::{Engine, HttpEngine, LoadReport, Order, OrderKind};
pub use request::CompletionRequest;
pub use response::{CompletionResponse, Usage};
pub use stream::{Chunk, ChunkStream};
