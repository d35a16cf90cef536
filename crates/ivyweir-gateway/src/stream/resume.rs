//! Resuming a stream at another upstream.

use std::time::Duration;

use ivyweir_policy::gateway::upstreams::{Choice, ChooseError};
use serde_json::json;
use tokio::time::sleep;

use super::Stream;
use super::source::Source;
use crate::attempt::{self, AttemptOptions, AttemptOutcome, Reply};
use crate::canary::record_head;
use crate::handover::{self, Attempts, HandoverOptions};
use crate::retry::{choose_upstream, hands_over, take_attempt};

impl Stream {
    /// Records that the source broke; `has_ended` if its body was read to its end.
    fn record_broken_source(&mut self, error: &str, has_ended: bool) {
        let upstream = self.source.in_flight.place().clone();
        let detail = json!({
            "upstream": upstream, "error": error, "behind_event": self.position.last_id(),
        });
        self.trace.fail("stream_broke", detail);
        self.source.record_break(has_ended);
        self.tried.push(upstream);
    }

    /// Records that the source sends no data although its connection is open.
    pub(super) fn record_stall(&mut self) {
        let upstream = self.source.in_flight.place().clone();
        let silent_ms = self.gateway.clock.now_ms() - self.source.last_read_ms;
        let detail = json!({
            "upstream": upstream, "silent_ms": silent_ms, "behind_event": self.position.last_id(),
        });
        self.trace.fail("stream_silent", detail);
        self.source.in_flight.record_missing_answer();
        self.tried.push(upstream);
    }

    /// Records that the source broke, and resumes the stream once it is known whether the upstream terminated. `has_ended`
    /// if the body was read to its end.
    pub(super) async fn resume_after_break(&mut self, error: &str, has_ended: bool) -> bool {
        self.record_broken_source(error, has_ended);
        let upstream = self.source.in_flight.place().clone();
        self.gateway.wait_for_termination_check(&upstream).await;
        self.resume(self.resume_until_ms()).await
    }

    /// Resumes the stream at another upstream; returns whether one responds. If all are backing off, waits until
    /// `resume_until_ms` for one, since the caller already has the previous events and would have to request them again.
    pub(super) async fn resume(&mut self, resume_until_ms: u64) -> bool {
        if !self.job.route.kind.is_repeatable() || !self.position.can_be_resumed() {
            return false;
        }
        let mut is_declined = false;
        let mut has_waited_for_check = false;
        while !self.gateway.is_quarantined(&self.job.identity) && !self.sends.is_used_up() {
            if is_declined && self.gateway.may_be_cut_off() {
                if std::mem::replace(&mut has_waited_for_check, true) {
                    return false;
                }
                self.gateway.wait_for_path_check().await;
                is_declined = false;
                continue;
            }
            if !is_declined && hands_over(&self.gateway, &self.job, &self.tried, self.model) {
                if !take_attempt(&self.gateway, &self.job, &self.sends) {
                    return false;
                }
                match self.hand_over_rest(has_waited_for_check).await {
                    AttemptOutcome::Answered(reply) if reply.response.status().is_success() => {
                        self.switch_source(*reply);
                        return true;
                    }
                    AttemptOutcome::NotRun { .. } => is_declined = true,
                    AttemptOutcome::Answered(_) | AttemptOutcome::Lost => {}
                }
                continue;
            }
            let rejected = self.sends.rejected();
            let choice = match choose_upstream(
                &self.gateway,
                &self.job,
                &self.tried,
                rejected,
                self.model,
            ) {
                Ok(choice) => choice,
                Err(ChooseError::AllBackingOff { for_ms })
                    if self
                        .gateway
                        .has_capacity_by(&self.job, for_ms, resume_until_ms) =>
                {
                    self.trace
                        .step("waits", json!({"backing_off_for_ms": for_ms}));
                    sleep(Duration::from_millis(for_ms)).await;
                    self.sends.forget_rejections();
                    continue;
                }
                Err(_) => return false,
            };
            if !take_attempt(&self.gateway, &self.job, &self.sends) {
                return false;
            }
            let outcome = self.request_rest(&choice).await;
            let upstream = choice.upstream.id.clone();
            match outcome {
                AttemptOutcome::NotRun { arrived: false } => {}
                AttemptOutcome::NotRun { arrived: true } => self.sends.record_rejection(&upstream),
                AttemptOutcome::Answered(_) | AttemptOutcome::Lost => self.sends.record_send(),
            }
            if matches!(outcome, AttemptOutcome::Lost) {
                self.gateway.wait_for_termination_check(&upstream).await;
            }
            self.tried.push(upstream);
            if let AttemptOutcome::Answered(mut reply) = outcome {
                record_head(&self.gateway, &self.job, &mut reply, self.model);
                if reply.response.status().is_success() {
                    self.switch_source(*reply);
                    return true;
                }
            }
        }
        false
    }

    /// Requests the events after the last one from an upstream.
    async fn request_rest(&mut self, choice: &Choice) -> AttemptOutcome {
        let now_ms = self.gateway.clock.now_ms();
        let options = AttemptOptions {
            model: self.model,
            resume_after: self.position.last_id(),
            head_timeout_ms: self.job.deadline_ms.saturating_sub(now_ms),
            forecast: choice.forecast,
        };
        attempt::send(
            &self.gateway,
            &self.job,
            &choice.upstream,
            options,
            &mut self.ledger,
            &mut self.trace,
        )
        .await
    }

    /// Asks another box for the events after the last one; `may_repeat_box` if it may be one that lost the stream.
    async fn hand_over_rest(&mut self, may_repeat_box: bool) -> AttemptOutcome {
        let now_ms = self.gateway.clock.now_ms();
        let options = HandoverOptions {
            is_counted: true,
            model: Some(self.model),
            resume_after: self.position.last_id(),
            head_timeout_ms: self.job.deadline_ms.saturating_sub(now_ms),
            is_for_share: false,
            may_repeat_box,
        };
        let attempts = Attempts {
            sends: &mut self.sends,
            tried: &mut self.tried,
            ledger: &mut self.ledger,
        };
        let trace = &mut self.trace;
        handover::send(&self.gateway, &self.job, options, attempts, trace).await
    }

    /// Makes an upstream's reply the source of the stream.
    fn switch_source(&mut self, reply: Reply) {
        let upstream = reply.in_flight.place();
        let detail = json!({
            "upstream": upstream, "behind_event": self.position.last_id(),
            "leaving": reply.metadata.statement.is_leaving,
        });
        self.trace.step("resumed", detail);
        self.buffer.discard(self.source.partial.len());
        (self.source, _) = Source::new(&self.gateway, reply);
    }
}
