//! The HTTP API towards callers: reading requests, writing answers, streams and errors.
//!
//! What a request means is decided elsewhere; this package bounds what comes in and gives answers
//! the form that clients of the chat completions API expect.
//!
//! ```
//! use ivyweir_caller::{ChatRequest, Marks};
//!
//! let body = br#"{"model":"auto","messages":[{"role":"user","content":"hello"}]}"#;
//! let request = ChatRequest::from_slice(body).unwrap();
//! assert_eq!(request.model, "auto");
//! assert!(!request.stream);
//!
//! let marks = Marks::from_headers(|name| (name == "X-Ivyweir-Priority").then_some("7")).unwrap();
//! assert_eq!(marks.priority, 7);
//! ```

mod chat;
mod incoming;
mod marks;
mod reply;
mod serve;

pub use chat::{ChatRequest, ModelList};
pub use incoming::{Incoming, MAX_BODY_BYTES};
pub use marks::Marks;
pub use reply::{EventWriter, Header, Reply, error_body};
pub use serve::{Handler, Server};
