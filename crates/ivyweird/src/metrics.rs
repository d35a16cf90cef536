//! Counters, by `opentelemetry`, readable in the exposition text format.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// All that this box counts.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    upstream_calls: Counter<u64>,
    /// Calls tried again at another upstream.
    pub retries: Counter<u64>,
    /// Streams that went on at another upstream.
    pub resumed_streams: Counter<u64>,
    /// Billing records made.
    pub billing_records: Counter<u64>,
    /// Billing segments written.
    pub billing_segments: Counter<u64>,
    /// Claims written to the store.
    pub claim_writes: Counter<u64>,
    /// Bytes of digests sent and received.
    pub digest_bytes: Counter<u64>,
    /// Exchanges started.
    pub exchanges: Counter<u64>,
    /// Load reports asked for.
    pub load_polls: Counter<u64>,
    store_calls: Counter<u64>,
    /// Ratings received.
    pub ratings: Counter<u64>,
    /// Generation of the configuration in force.
    pub generation: Gauge<u64>,
    /// Boxes alive.
    pub boxes_alive: Gauge<u64>,
    /// Records that are not in the store yet.
    pub billing_pending: Gauge<u64>,
    /// Version verdicts that changed.
    pub verdict_changes: Counter<u64>,
}

impl Metrics {
    /// Counters that start at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a fresh registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("ivyweird");
        let counter = |name: &'static str| meter.u64_counter(name).build();
        Self {
            requests: counter("ivyweir_requests"),
            upstream_calls: counter("ivyweir_upstream_calls"),
            retries: counter("ivyweir_retries"),
            resumed_streams: counter("ivyweir_resumed_streams"),
            billing_records: counter("ivyweir_billing_records"),
            billing_segments: counter("ivyweir_billing_segments"),
            claim_writes: counter("ivyweir_claim_writes"),
            digest_bytes: counter("ivyweir_digest_bytes"),
            exchanges: counter("ivyweir_exchanges"),
            load_polls: counter("ivyweir_load_polls"),
            store_calls: counter("ivyweir_store_calls"),
            ratings: counter("ivyweir_ratings"),
            verdict_changes: counter("ivyweir_verdict_changes"),
            generation: gauge(&meter, "ivyweir_config_generation"),
            boxes_alive: gauge(&meter, "ivyweir_boxes_alive"),
            billing_pending: gauge(&meter, "ivyweir_billing_pending_records"),
            registry,
            _provider: provider,
        }
    }

    /// Counts a request by its outcome: `ok` or a refusal code.
    pub fn request(&self, outcome: &'static str) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a call to an upstream by version and outcome.
    pub fn upstream_call(&self, version: &str, outcome: &'static str) {
        let version = KeyValue::new("version", version.to_owned());
        self.upstream_calls
            .add(1, &[version, KeyValue::new("outcome", outcome)]);
    }

    /// Counts a call to the store by its kind.
    pub fn store_call(&self, kind: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// All metrics in the exposition text format.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        let written = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        written.expect("gathered metrics can be encoded");
        String::from_utf8_lossy(&text).into_owned()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn gauge(meter: &Meter, name: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).build()
}
