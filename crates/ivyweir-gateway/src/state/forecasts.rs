//! Forecasts of the time to the first token, and their comparison with the observed time.

use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::forecast::Forecast;
use ivyweir_policy::gateway::urgency::Band;
use serde_json::{Value, json};

use super::Gateway;

impl Gateway {
    /// Records the forecast of an answer next to the observed time to its head.
    pub fn record_forecast(
        &self,
        upstream: &UpstreamRecord,
        band: Band,
        forecast: &Forecast,
        observed_ms: u64,
    ) {
        let band = band.index().to_string();
        let observe = |figure: &str, ms: f64| {
            let labels = [&*upstream.pool, &*band, figure];
            let histogram = self.metrics.first_token.with_label_values(&labels);
            histogram.observe(ms / 1_000.0);
        };
        observe("predicted", forecast.first_token_ms());
        observe("observed", observed_ms as f64);
    }
}

/// A forecast for a log line.
pub fn forecast_json(forecast: &Forecast) -> Value {
    json!({
        "first_token_ms": forecast.first_token_ms(), "wait_ms": forecast.wait_ms,
        "slot": forecast.slot.name(), "load_source": forecast.load_source.name(),
    })
}
