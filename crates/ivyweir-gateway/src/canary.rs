//! Records answers as samples for the canary analysis of their upstream's version.
//!
//! An answer is timed where its pace is known, and judged once, at its end: it is good if it is whole and no failure. One
//! that is cut, lost or never comes is a failure.

use ivyweir_policy::gateway::canary::{AnswerSample, Span};
use ivyweir_policy::gateway::fleet::UpstreamRecord;

use crate::attempt::Reply;
use crate::job::Job;
use crate::state::Gateway;

/// Records the head of a response for its upstream and version. The pace of a stream is sampled later.
pub fn record_head(gateway: &Gateway, job: &Job, reply: &mut Reply, model: usize) {
    let Some(upstream) = reply.in_flight.upstream() else {
        return;
    };
    let failed = reply.response.status().is_server_error();
    reply.in_flight.record_outcome(failed);
    if reply.response.status().is_success() {
        record_prefill_pace(gateway, job, reply, model);
    }
    if failed {
        reply.in_flight.judge(true);
    } else if !job.route.kind.is_stream() {
        let sample = AnswerSample {
            upstream: &upstream.id,
            failed: false,
            is_final: false,
            lane: job.lane(model),
            pace_ms: Some(reply.head_after_ms as f64),
            span: Span::Whole,
            age_ms: reply.head_after_ms,
            running: reply.metadata.running(),
            queue: reply.metadata.waiting_per_running(),
        };
        record_sample(gateway, upstream, &sample);
    }
}

/// Records for the version of `upstream` whether an answer, to a request sent `age_ms` ago, was good or failed.
pub fn record_verdict(
    gateway: &Gateway,
    upstream: &UpstreamRecord,
    lane: u64,
    failed: bool,
    age_ms: u64,
) {
    let sample = AnswerSample {
        upstream: &upstream.id,
        failed,
        is_final: true,
        lane,
        pace_ms: None,
        span: Span::Whole,
        age_ms,
        running: 0,
        queue: 0.0,
    };
    record_sample(gateway, upstream, &sample);
}

/// Records how long the upstream took to prefill the prompt.
fn record_prefill_pace(gateway: &Gateway, job: &Job, reply: &Reply, model: usize) {
    let Some(tokens) = job.tokens() else {
        return;
    };
    if gateway.settings.policy.learn_pace {
        gateway.with_prefill_pace(&job.pool, |pace| {
            pace.record(model, tokens.prompt(), reply.head_after_ms);
        });
    }
}

/// Records a sample for the version of `upstream`, and logs if the version is condemned by it.
pub fn record_sample(gateway: &Gateway, upstream: &UpstreamRecord, sample: &AnswerSample) {
    let condemned = gateway.with_rollouts(|rollouts, now_ms| {
        let tracker = rollouts.get_mut(&upstream.pool)?;
        let side = tracker.side_of(&upstream.version);
        tracker
            .record_answer(side, sample, now_ms)
            .then(|| tracker.total_tally())
    });
    if let Some(tally) = condemned {
        gateway.log_condemned(&upstream.pool, &tally);
    }
}
