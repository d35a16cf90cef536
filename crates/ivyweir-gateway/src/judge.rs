//! Adds answers to what is known of the versions that gave them.

use ivyweir_policy::gateway::canary::{AnswerSample, Span};
use ivyweir_policy::gateway::fleet::UpstreamRecord;

use crate::attempt::Reply;
use crate::job::Job;
use crate::state::Gateway;

/// Takes in what the head of an answer says of its upstream and version; a stream is judged later.
pub fn judge_head(gateway: &Gateway, job: &Job, reply: &Reply, model: usize) {
    let failed = reply.response.status().is_server_error();
    reply.lease.outcome(failed);
    if reply.response.status().is_success() {
        learn_pace(gateway, job, reply, model);
    }
    if failed || !job.route.kind.is_stream() {
        let evidence = AnswerSample {
            upstream: &reply.lease.upstream.id,
            failed,
            is_final: true,
            lane: job.lane(model),
            pace_ms: (!failed).then_some(reply.head_after_ms as f64),
            span: Span::Whole,
            age_ms: reply.head_after_ms,
            running: reply.marks.running(),
            queue: reply.marks.waiting_per_running(),
        };
        weigh(gateway, job, &reply.lease.upstream, &evidence);
    }
}

/// Takes in how long the upstream took to read the prompt.
fn learn_pace(gateway: &Gateway, job: &Job, reply: &Reply, model: usize) {
    let Some(tokens) = job.tokens() else {
        return;
    };
    if gateway.settings.policy.learn_pace {
        gateway.with_pace(&job.pool, |pace| {
            pace.record(model, tokens.prompt(), reply.head_after_ms);
        });
    }
}

/// Adds an answer to what is known about its version.
pub fn weigh(gateway: &Gateway, job: &Job, upstream: &UpstreamRecord, evidence: &AnswerSample) {
    let condemned = gateway.with_rollouts(|rollouts, now_ms| {
        let track = rollouts.get_mut(&job.pool)?;
        let side = track.side_of(&upstream.version);
        track
            .record_answer(side, evidence, now_ms)
            .then(|| track.total_tally())
    });
    if let Some(sum) = condemned {
        gateway.log_condemned(&job.pool, &sum);
    }
}
