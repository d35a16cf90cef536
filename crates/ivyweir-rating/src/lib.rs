//! Client of the service that rates answers.
//!
//! ```no_run
//! use ivyweir_rating::{HttpRater, Rater};
//!
//! let score = HttpRater::new("http://127.0.0.1:9100").rate("a question", "an answer")?;
//! assert!((0.0..=1.0).contains(&score));
//! # Ok::<(), ivyweir_rating::Error>(())
//! ```

use std::fmt;
use std::time::Duration;

use attohttpc::{ProxySettings, RequestBuilder};
use serde::{Deserialize, Serialize};

/// Ratings are not urgent; one that takes longer is dropped.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A rating that was not given.
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

/// Somebody who rates answers.
pub trait Rater: Send + Sync {
    /// Rates an answer to a prompt from 0 to 1.
    ///
    /// # Errors
    ///
    /// [`Error`] when there is no rating within a few seconds.
    fn rate(&self, prompt: &str, answer: &str) -> Result<f64, Error>;
}

/// The rating service over HTTP.
#[derive(Debug, Clone)]
pub struct HttpRater {
    base_url: String,
}

#[derive(Serialize)]
struct Ask<'a> {
    prompt: &'a str,
    answer: &'a str,
}

#[derive(Deserialize)]
struct Rating {
    score: f64,
}

impl HttpRater {
    /// A client of the rating service at `base_url`.
    pub fn new(base_url: impl Into<String>) -> Self {
        Self {
            base_url: base_url.into(),
        }
    }
}

impl Rater for HttpRater {
    fn rate(&self, prompt: &str, answer: &str) -> Result<f64, Error> {
        let rating: Rating = RequestBuilder::new(
            attohttpc::Method::POST,
            format!("{}/v1/rate", self.base_url),
        )
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .timeout(TIMEOUT)
        .json(&Ask { prompt, answer })
        .and_then(|request| request.send())
        .and_then(|response| response.error_for_status())
        .and_then(|response| response.json_utf8())
        .map_err(|e| failed(&e))?;
        if (0.0..=1.0).contains(&rating.score) {
            Ok(rating.score)
        } else {
            Err(failed(&format!("score {}, expected 0 to 1", rating.score)))
        }
    }
}

#[cold]
fn failed(detail: &dyn fmt::Display) -> Error {
    Error {
        detail: detail.to_string(),
    }
}
