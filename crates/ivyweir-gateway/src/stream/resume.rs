//! Going on with a stream at another upstream.

use std::sync::Arc;
use std::time::Duration;

use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::upstreams::ChooseError;
use serde_json::json;
use tokio::time::sleep;

use super::{Source, Stream};
use crate::attempt::{self, AttemptOptions, AttemptOutcome, Reply};
use crate::canary::record_head;
use crate::tries::{choose, has_attempt};

impl Stream {
    /// Takes in that the source broke off.
    pub(super) fn broke(&mut self, error: &str) {
        let upstream = self.source.in_flight.upstream.id.clone();
        let detail = json!({
            "upstream": upstream, "error": error, "behind_event": self.last_event_id,
        });
        self.trace.fail("stream_broke", detail);
        self.source.in_flight.record_broken_connection();
        self.tried.push(upstream);
    }

    /// Takes in that the source sends nothing, though its connection stands.
    pub(super) fn fell_silent(&mut self) {
        let upstream = self.source.in_flight.upstream.id.clone();
        let silent_ms = self.gateway.clock.now_ms() - self.source.heard_ms;
        let detail = json!({
            "upstream": upstream, "silent_ms": silent_ms, "behind_event": self.last_event_id,
        });
        self.trace.fail("stream_silent", detail);
        self.source.in_flight.record_outcome(true);
        self.tried.push(upstream);
    }

    /// Goes on at another upstream; returns whether one answers. Where all want nothing for now, it waits for one until
    /// `patient_until_ms`: the caller has all that came before, and would have to ask for it again.
    pub(super) async fn resume(&mut self, patient_until_ms: u64) -> bool {
        if !self.job.route.kind.is_repeatable() {
            return false;
        }
        while !self.gateway.is_quarantined(self.job.fingerprint)
            && self.sent < self.job.route.max_attempts
        {
            let choice = match choose(&self.gateway, &self.job, &self.tried, self.model) {
                Ok(choice) => choice,
                Err(ChooseError::AllBackingOff { for_ms })
                    if self
                        .gateway
                        .takes_one_by(&self.job, for_ms, patient_until_ms) =>
                {
                    self.trace
                        .step("waits", json!({"backing_off_for_ms": for_ms}));
                    sleep(Duration::from_millis(for_ms)).await;
                    continue;
                }
                Err(_) => return false,
            };
            if !has_attempt(&self.gateway, &self.job, self.sent) {
                return false;
            }
            let sent = self.send_to(&choice.upstream).await;
            if !matches!(sent, AttemptOutcome::NotRun { arrived: false }) {
                self.sent += 1;
            }
            self.tried.push(choice.upstream.id.clone());
            if let AttemptOutcome::Answered(reply) = sent {
                record_head(&self.gateway, &self.job, &reply, self.model);
                if reply.response.status().is_success() {
                    self.go_on_at(*reply);
                    return true;
                }
            }
        }
        false
    }

    /// Asks an upstream for the events behind the last one.
    async fn send_to(&mut self, upstream: &Arc<UpstreamRecord>) -> AttemptOutcome {
        let now_ms = self.gateway.clock.now_ms();
        let options = AttemptOptions {
            model: self.model,
            resume_after: self.last_event_id,
            head_timeout_ms: self.job.deadline_ms.saturating_sub(now_ms),
        };
        let trace = &mut self.trace;
        attempt::send(&self.gateway, &self.job, upstream, options, trace).await
    }

    /// Takes an upstream's answer as the source from now on.
    fn go_on_at(&mut self, reply: Reply) {
        let upstream = &reply.in_flight.upstream.id;
        let detail = json!({
            "upstream": upstream, "behind_event": self.last_event_id,
            "leaving": reply.marks.statement.is_leaving,
        });
        self.trace.step("resumed", detail);
        self.partial.clear();
        self.source = Source {
            running: reply.marks.running(),
            replaced: self.gateway.watch_replaced(&reply.in_flight.upstream.id),
            body: reply.response.into_body(),
            in_flight: reply.in_flight,
            keep_alive_ms: reply.keep_alive_ms,
            is_framed: reply.is_framed,
            heard_ms: self.gateway.clock.now_ms(),
            may_be_silent: false,
        };
    }
}
