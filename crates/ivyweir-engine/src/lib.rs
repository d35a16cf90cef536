//! Client of model engines: completions, streams, load reports and fenced orders.
//!
//! An answer counts only when it is whole: for this request, of the version asked for, with a
//! finish reason. Everything else is a [`CallError`] that says whether the engine may have run it.
//!
//! ```no_run
//! use std::time::Duration;
//! use ivyweir_engine::{Completion, Engine, HttpEngine};
//!
//! let engine = HttpEngine::default();
//! let request = Completion::new("notes@v1", "req-1", serde_json::Map::new());
//! let answer = engine.complete("127.0.0.1:8000", &request, Duration::from_secs(30))?;
//! println!("{} tokens", answer.usage.total_tokens);
//! # Ok::<(), ivyweir_engine::CallError>(())
//! ```

mod answer;
mod error;
mod http;
mod request;
mod stream;

pub use answer::{Answer, Usage};
pub use error::{CallError, Fault};
pub use http::{Engine, HttpEngine, LoadReport, Order, OrderKind};
pub use request::Completion;
pub use stream::{Chunk, ChunkStream};
