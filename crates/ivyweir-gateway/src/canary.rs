//! Records answers as samples for the canary analysis of their upstream's version.
//!
//! An answer is timed where its pace is known, and judged once, at its end: it is good if it is whole and no failure. One
//! that is cut, lost or never comes is a failure.

use std::sync::atomic::{AtomicU64, Ordering};

use ivyweir_policy::gateway::awaited::AwaitedAnswer;
use ivyweir_policy::gateway::canary::{AnswerSample, Span};
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::rollout::{RolloutTracker, Side};

use crate::attempt::Reply;
use crate::job::Job;
use crate::state::Gateway;

/// Id of the next answer that is awaited by a roll-out.
static NEXT_ANSWER_ID: AtomicU64 = AtomicU64::new(0);

/// Records that a stream of `upstream` begins; returns the id of the answer if its pool has a roll-out.
pub fn begin_answer(gateway: &Gateway, upstream: &UpstreamRecord, lane: u64) -> Option<u64> {
    gateway.with_rollouts(|rollouts, now_ms| {
        let tracker = rollouts.get_mut(&upstream.pool)?;
        let id = NEXT_ANSWER_ID.fetch_add(1, Ordering::Relaxed);
        let answer = AwaitedAnswer {
            upstream: upstream.id.clone(),
            side: tracker.side_of(&upstream.version),
            lane,
            began_ms: now_ms,
        };
        tracker.begin_answer(id, answer);
        Some(id)
    })
}

/// Records that the answer with this id has ended.
pub fn end_answer(gateway: &Gateway, upstream: &UpstreamRecord, id: u64) {
    gateway.with_rollouts(|rollouts, _| {
        if let Some(tracker) = rollouts.get_mut(&upstream.pool) {
            tracker.end_answer(id);
        }
    });
}

/// Records the head of a response for its upstream and version. The pace of a stream is sampled later.
pub fn record_head(gateway: &Gateway, job: &Job, reply: &mut Reply, model: usize) {
    let Some(upstream) = reply.in_flight.upstream().cloned() else {
        return;
    };
    let failed = reply.response.status().is_server_error();
    reply.in_flight.record_outcome(failed);
    if reply.response.status().is_success() {
        record_prefill_pace(gateway, job, reply, model);
        if job.route.kind.is_stream() {
            reply.in_flight.begin_stream();
        }
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
        record_sample(gateway, &upstream, &sample);
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
    record(gateway, upstream, |tracker, side, now_ms| {
        tracker.record_answer(side, sample, now_ms)
    });
}

/// Records the first timing of a stream, the answer with this id, like [`record_sample`].
pub fn record_stream(gateway: &Gateway, upstream: &UpstreamRecord, id: u64, sample: &AnswerSample) {
    record(gateway, upstream, |tracker, side, now_ms| {
        tracker.record_stream(id, side, sample, now_ms)
    });
}

/// Lets the roll-out of the pool record an answer, and logs if the version is condemned by it.
fn record(
    gateway: &Gateway,
    upstream: &UpstreamRecord,
    record: impl FnOnce(&mut RolloutTracker, Side, u64) -> bool,
) {
    let condemned = gateway.with_rollouts(|rollouts, now_ms| {
        let tracker = rollouts.get_mut(&upstream.pool)?;
        let side = tracker.side_of(&upstream.version);
        record(tracker, side, now_ms).then(|| tracker.total_tally())
    });
    if let Some(tally) = condemned {
        gateway.log_condemned(&upstream.pool, &tally);
    }
}
