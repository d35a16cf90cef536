//! Metrics, collected by `opentelemetry` and exported in the Prometheus text format.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The metrics of one box.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    upstream_calls: Counter<u64>,
    /// Calls retried at another upstream.
    pub retries: Counter<u64>,
    /// Streams resumed at another upstream.
    pub resumed_streams: Counter<u64>,
    /// Billing records created.
    pub billing_records: Counter<u64>,
    /// Billing segments written.
    pub billing_segments: Counter<u64>,
    /// Writes of claims to the store.
    pub claim_writes: Counter<u64>,
    /// Bytes of digests sent and received.
    pub digest_bytes: Counter<u64>,
    /// Gossip exchanges started.
    pub exchanges: Counter<u64>,
    /// Load reports requested from upstreams.
    pub load_polls: Counter<u64>,
    store_calls: Counter<u64>,
    /// Ratings received.
    pub ratings: Counter<u64>,
    /// Generation of the configuration in force.
    pub generation: Gauge<u64>,
    /// Number of serving boxes.
    pub boxes_alive: Gauge<u64>,
    /// Billing records that are not in the store yet.
    pub billing_pending: Gauge<u64>,
    /// Changes of a verdict on a version.
    pub verdict_changes: Counter<u64>,
}

impl Metrics {
    /// Creates the metrics, with all counters at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a new registry accepts the exporter");
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

    /// Counts a request by its outcome: `ok` or the code of a refusal.
    pub fn count_request(&self, outcome: &'static str) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a call to an upstream by version and outcome.
    pub fn count_upstream_call(&self, version: &str, outcome: &'static str) {
        let version = KeyValue::new("version", version.to_owned());
        self.upstream_calls
            .add(1, &[version, KeyValue::new("outcome", outcome)]);
    }

    /// Counts a call to the store by its kind.
    pub fn count_store_call(&self, kind: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode_text(&self) -> String {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        encoded.expect("gathered metrics can be encoded");
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
