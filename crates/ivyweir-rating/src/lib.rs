//! Client of the rating service, which scores answers to prompts.
//!
//! ```no_run
//! use ivyweir_rating::{HttpRater, Rater};
//!
//! let score = HttpRater::new("http://127.0.0.1:9100").rate("a question", "an answer")?;
//! assert!((0.0..=1.0).contains(&score));
//! # Ok::<(), ivyweir_rating::Error>(())
//! ```

use std::fmt;
use std::time::{Duration, Instant};

use attohttpc::{ProxySettings, RequestBuilder};
use ivyweir_body::BodyReader;
use serde::{Deserialize, Serialize};

/// Timeout of a rating. No request waits for a rating, so a slower one is dropped.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Error of a rating request.
#[derive(Debug)]
pub struct Error {
    detail: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rating: {}", self.detail)
    }
}

impl std::error::Error for Error {}

/// Client interface to a rating service.
pub trait Rater: Send + Sync {
    /// Rates `answer` as a response to `prompt`. The score ranges from 0 to 1.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid score within a few seconds.
    fn rate(&self, prompt: &str, answer: &str) -> Result<f64, Error>;
}

/// HTTP client of a rating service.
#[derive(Debug, Clone)]
pub struct HttpRater {
    base_url: String,
    bodies: BodyReader,
}

#[derive(Serialize)]
struct RatingRequest<'a> {
    prompt: &'a str,
    answer: &'a str,
}

#[derive(Deserialize)]
struct RatingResponse {
    score: f64,
}

impl HttpRater {
    /// Creates a client of the rating service at `base_url`.
    pub fn new(base_url: impl Into<String>) -> Self {
        Self {
            base_url: base_url.into(),
            bodies: BodyReader::default(),
        }
    }
}

impl Rater for HttpRater {
    fn rate(&self, prompt: &str, answer: &str) -> Result<f64, Error> {
        let deadline = Instant::now() + TIMEOUT;
        let response = RequestBuilder::new(
            attohttpc::Method::POST,
            format!("{}/v1/rate", self.base_url),
        )
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .timeout(TIMEOUT)
        .json(&RatingRequest { prompt, answer })
        .and_then(|request| request.send())
        .and_then(|response| response.error_for_status())
        .map_err(|e| rating_error(&e))?;
        let (_, _, reader) = response.split();
        let body = self.bodies.read(reader, deadline);
        let body = body.map_err(|e| rating_error(&e))?;
        let rating: RatingResponse = serde_json::from_slice(&body).map_err(|e| rating_error(&e))?;
        if (0.0..=1.0).contains(&rating.score) {
            Ok(rating.score)
        } else {
            Err(rating_error(&format!(
                "score {}, expected a number from 0 to 1",
                rating.score
            )))
        }
    }
}

#[cold]
fn rating_error(detail: &dyn fmt::Display) -> Error {
    Error {
        detail: detail.to_string(),
    }
}
