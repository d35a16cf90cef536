//! Prometheus metrics of a box.

use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 3.0, 10.0, 25.0];

/// Metrics of a box. Every label has a small set of values; upstreams are named only where they are at fault.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests from callers, by route and outcome.
    pub requests: IntCounterVec,
    /// Requests sent to upstreams, by pool and outcome.
    pub sends: IntCounterVec,
    /// Requests that waited in this box for the capacity of a plain pool, by pool and reason.
    pub capacity_waits: IntCounterVec,
    /// Requests that were refused for lack of capacity of a plain pool, by pool and reason.
    pub capacity_refusals: IntCounterVec,
    /// Responses in which upstreams state that they are leaving, want no requests or have a limit,
    /// by pool and statement.
    pub upstream_statements: IntCounterVec,
    /// Responses with a header that has the dialect's prefix but is not read, by header name.
    pub unread_headers: IntCounterVec,
    /// Upstreams that terminated while they had requests of this box, by pool.
    pub upstream_ends: IntCounterVec,
    /// Connections opened to find out whether an upstream terminated, by pool and outcome.
    pub probes: IntCounterVec,
    /// Bodies of answers that were read to their end, by framing and what the end means.
    pub answer_ends: IntCounterVec,
    /// Responses that were not the answers to the requests in whose place they came, by upstream and whether the answer
    /// itself followed.
    pub foreign_answers: IntCounterVec,
    /// Promises to callers and to other boxes that requests have not run, by status, recipient and what they rest on.
    pub promises: IntCounterVec,
    /// Requests that were handed over to other boxes, by outcome.
    pub handovers: IntCounterVec,
    /// Store records that became invalid, by topic and fault. Each is counted once, when it becomes
    /// invalid.
    pub unreadable_records: IntCounterVec,
    /// Calls to the store, by topic and outcome.
    pub store_calls: IntCounterVec,
    /// Duty calls to the platform, by duty and outcome.
    pub duty_calls: IntCounterVec,
    /// Answers of a smaller model with low confidence, by route and what was done: `asked` if the largest model was
    /// asked, otherwise the reason for which it was not.
    pub escalations: IntCounterVec,
    /// Answers of a smaller model that were relayed although their confidence was low, by route.
    pub low_confidence_relayed: IntCounterVec,
    /// Callers' connections ended because they read too slowly, by reason.
    pub slow_readers: IntCounterVec,
    /// Background tasks that ended and were restarted, by task.
    pub task_ends: IntCounterVec,
    /// Requests whose handling panicked, by party.
    pub request_panics: IntCounterVec,
    /// Time to the response head, by route.
    pub head_latency: HistogramVec,
    /// Work that all boxes sent to a pool in the last 5 s, in milliseconds of upstream time, by pool.
    pub pool_work: IntGaugeVec,
    /// Workspaces that are held back because they are above their fair share, by pool.
    pub workspaces_over: IntGaugeVec,
    /// Predicted and observed time to the first token of answers, by pool, band of urgency and figure. Only for pools
    /// with load control.
    pub first_token: HistogramVec,
    /// State of the box: configuration version, proof age, store era, topic revisions, active and
    /// quarantined requests, and dropped log lines.
    pub state_gauges: IntGaugeVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("invariant: the metric name is valid");
            registry
                .register(Box::new(counter.clone()))
                .expect("invariant: metric names are unique");
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
        let capacity_waits = counter(
            "ivyweir_capacity_waits_total",
            "requests that waited for the capacity of a plain pool, by pool and reason",
            &["pool", "reason"],
        );
        let capacity_refusals = counter(
            "ivyweir_capacity_refusals_total",
            "requests refused for lack of capacity of a plain pool, by pool and reason",
            &["pool", "reason"],
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
        let answer_ends = counter(
            "ivyweir_answer_ends_total",
            "bodies of answers read to their end by framing and meaning",
            &["framing", "meaning"],
        );
        let foreign_answers = counter(
            "ivyweir_foreign_answers_total",
            "answers to other requests in the place of the right one, by upstream and what came of the request",
            &["upstream", "then"],
        );
        let promises = counter(
            "ivyweir_promises_total",
            "promises that requests have not run by status, recipient and what they rest on",
            &["status", "to", "basis"],
        );
        let handovers = counter(
            "ivyweir_handovers_total",
            "requests handed over to other boxes by outcome",
            &["outcome"],
        );
        let probes = counter(
            "ivyweir_probes_total",
            "connections opened to find out whether an upstream terminated, by pool and outcome",
            &["pool", "outcome"],
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
        let gauge = |name: &str, help: &str| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), &["pool"])
                .expect("invariant: the metric name is valid");
            registry
                .register(Box::new(gauge.clone()))
                .expect("invariant: metric names are unique");
            gauge
        };
        let pool_work = gauge(
            "ivyweir_pool_work_ms",
            "work sent to a pool by all boxes in the last 5 s",
        );
        let workspaces_over = gauge(
            "ivyweir_workspaces_over_share",
            "workspaces above their fair share of a pool that is short of capacity",
        );
        let escalations = counter(
            "ivyweir_escalations_total",
            "answers of a smaller model with low confidence by route and whether the largest was asked or why not",
            &["route", "decision"],
        );
        let low_confidence_relayed = counter(
            "ivyweir_low_confidence_relayed_total",
            "answers of a smaller model with low confidence that were relayed, by route",
            &["route"],
        );
        let slow_readers = counter(
            "ivyweir_slow_readers_ended_total",
            "answers ended because their callers read too slowly, by reason",
            &["reason"],
        );
        let task_ends = counter(
            "ivyweir_task_ends_total",
            "background tasks that ended and were restarted, by task",
            &["task"],
        );
        let request_panics = counter(
            "ivyweir_request_panics_total",
            "requests whose handling panicked, by party",
            &["party"],
        );
        let opts = HistogramOpts::new("ivyweir_head_latency_s", "time to the head of an answer");
        let head_latency = HistogramVec::new(opts.buckets(LATENCY_BUCKETS_S.to_vec()), &["route"])
            .expect("invariant: the metric name is valid");
        let opts = HistogramOpts::new(
            "ivyweir_first_token_s",
            "predicted and observed time to the first token of an answer, by pool and band",
        );
        let buckets = opts.buckets(LATENCY_BUCKETS_S.to_vec());
        let first_token = HistogramVec::new(buckets, &["pool", "band", "figure"])
            .expect("invariant: the metric name is valid");
        registry
            .register(Box::new(first_token.clone()))
            .expect("invariant: metric names are unique");
        let state_gauges = IntGaugeVec::new(
            Opts::new("ivyweir_belief", "what the box believes"),
            &["what"],
        )
        .expect("invariant: the metric name is valid");
        registry
            .register(Box::new(head_latency.clone()))
            .expect("invariant: metric names are unique");
        registry
            .register(Box::new(state_gauges.clone()))
            .expect("invariant: metric names are unique");
        Self {
            registry,
            requests,
            sends,
            capacity_waits,
            capacity_refusals,
            upstream_statements,
            unread_headers,
            upstream_ends,
            probes,
            answer_ends,
            foreign_answers,
            promises,
            handovers,
            unreadable_records,
            store_calls,
            duty_calls,
            escalations,
            low_confidence_relayed,
            slow_readers,
            task_ends,
            request_panics,
            head_latency,
            pool_work,
            workspaces_over,
            first_token,
            state_gauges,
        }
    }
}

impl Metrics {
    /// Encodes all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        // The encoder fails only on metric families without a name.
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
