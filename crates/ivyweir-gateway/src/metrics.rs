//! Counters and latency histograms, served as text.

use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 3.0, 10.0, 25.0];

/// What a box counts; every label has few values.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by route and outcome.
    pub requests: IntCounterVec,
    /// Sends to upstreams by pool and outcome.
    pub sends: IntCounterVec,
    /// What upstreams said of themselves in answers, by pool and what they said.
    pub upstream_statements: IntCounterVec,
    /// Answers with a header of the dialect's that nobody reads, by its name.
    pub unread_headers: IntCounterVec,
    /// Upstreams that ended while requests of this box were there, by pool.
    pub upstream_ends: IntCounterVec,
    /// Records of the store that could not be read, by topic and fault, each counted when it turned so.
    pub unreadable_records: IntCounterVec,
    /// Calls to the store by topic and outcome.
    pub store_calls: IntCounterVec,
    /// Calls of duties to the platform, by duty and outcome.
    pub duty_calls: IntCounterVec,
    /// Time to the head of the answer by route.
    pub head_latency: HistogramVec,
    /// What the box believes: configuration version, ready upstreams, proof age, log lines dropped.
    pub state_gauges: IntGaugeVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("invariant: the name is valid");
            registry
                .register(Box::new(counter.clone()))
                .expect("invariant: names differ");
            counter
        };
        let requests = counter(
            "ivyweir_requests_total",
            "requests by route and outcome",
            &["route", "outcome"],
        );
        let sends = counter(
            "ivyweir_sends_total",
            "sends to upstreams by pool and outcome",
            &["pool", "outcome"],
        );
        let upstream_statements = counter(
            "ivyweir_upstream_statements_total",
            "answers in which upstreams said that they leave, want nothing or name a limit, by pool",
            &["pool", "says"],
        );
        let unread_headers = counter(
            "ivyweir_unread_headers_total",
            "answers with a header of the dialect's that nobody reads, by name",
            &["name"],
        );
        let upstream_ends = counter(
            "ivyweir_upstream_ends_total",
            "upstreams that ended while requests were there, by pool",
            &["pool"],
        );
        let unreadable_records = counter(
            "ivyweir_unreadable_records_total",
            "records of the store that turned unreadable, by topic and fault",
            &["topic", "fault"],
        );
        let store_calls = counter(
            "ivyweir_store_calls_total",
            "calls to the store by topic and outcome",
            &["topic", "outcome"],
        );
        let duty_calls = counter(
            "ivyweir_duty_calls_total",
            "calls of duties to the platform by duty and outcome",
            &["duty", "outcome"],
        );
        let opts = HistogramOpts::new("ivyweir_head_latency_s", "time to the head of an answer");
        let head_latency = HistogramVec::new(opts.buckets(LATENCY_BUCKETS_S.to_vec()), &["route"])
            .expect("invariant: the name is valid");
        let state_gauges = IntGaugeVec::new(
            Opts::new("ivyweir_belief", "what the box believes"),
            &["what"],
        )
        .expect("invariant: the name is valid");
        registry
            .register(Box::new(head_latency.clone()))
            .expect("invariant: names differ");
        registry
            .register(Box::new(state_gauges.clone()))
            .expect("invariant: names differ");
        Self {
            registry,
            requests,
            sends,
            upstream_statements,
            unread_headers,
            upstream_ends,
            unreadable_records,
            store_calls,
            duty_calls,
            head_latency,
            state_gauges,
        }
    }
}

impl Metrics {
    /// All of them in the text format of Prometheus.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        // The encoder fails only on families without a name.
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
