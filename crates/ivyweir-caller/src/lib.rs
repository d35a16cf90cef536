//! HTTP server and message types of the caller API: request parsing, responses, event streams and
//! error bodies.
//!
//! This crate limits the size and read time of requests, and writes responses in the format that
//! clients of the chat completions API expect. Routing and execution are left to the [`Handler`].
//!
//! ```
//! use ivyweir_caller::{ChatRequest, RequestMetadata};
//!
//! let body = br#"{"model":"auto","messages":[{"role":"user","content":"hello"}]}"#;
//! let request = ChatRequest::from_slice(body).unwrap();
//! assert_eq!(request.model, "auto");
//! assert!(!request.stream);
//!
//! let metadata = RequestMetadata::from_headers(|name| {
//!     (name == "X-Ivyweir-Priority").then_some("7")
//! })
//! .unwrap();
//! assert_eq!(metadata.priority, 7);
//! ```

mod chat;
mod incoming;
mod metadata;
mod reply;
mod server;

pub use chat::{ChatRequest, ModelList};
pub use incoming::{Incoming, MAX_BODY_BYTES};
pub use metadata::RequestMetadata;
pub use reply::{EventWriter, Header, Reply, error_body};
pub use server::{Handler, Server};
