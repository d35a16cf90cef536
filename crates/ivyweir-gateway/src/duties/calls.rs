//! Calls to the platform that perform the duties.

use bytes::Bytes;
use hyper::{Request, StatusCode};
use serde_json::json;

use super::Worker;
use crate::client::CallError;
use crate::dialect::DutyHolder;

impl Worker {
    pub(super) async fn send_reports(&mut self) -> Result<(), CallError> {
        loop {
            let next = self.pending_reports().next().cloned();
            let Some((report, fence)) = next.zip(self.fence()) else {
                return Ok(());
            };
            let codec = &self.gateway.duty_codec;
            let request = codec.report_usage(self.holder(fence), &report);
            let status = self.call_platform("usage", request).await?;
            let requests: u64 = report.counts.values().map(|count| u64::from(*count)).sum();
            let detail = json!({
                "window": report.window, "requests": requests, "workspaces": report.counts.len(),
                "fence": fence, "status": status.as_u16(),
            });
            self.gateway.log.line("usage_reported", detail);
            if !status.is_success() {
                return self.handle_refusal(status);
            }
            self.accepted_windows.insert(report.window);
        }
    }

    pub(super) async fn send_orders(&mut self) -> Result<(), CallError> {
        // Orders missing from the record were planned while an earlier write was pending. They are planned again.
        let recorded = self.lease.orders();
        self.unsent_orders.retain(|order| recorded.contains(order));
        loop {
            let next = self.unsent_orders.first().cloned();
            let Some((order, fence)) = next.zip(self.fence()) else {
                return Ok(());
            };
            let codec = &self.gateway.duty_codec;
            let request = codec.order_upstreams(self.holder(fence), &order);
            let status = self.call_platform("orders", request).await?;
            let detail = json!({
                "pool": order.pool, "hall": order.hall, "spot": order.is_spot,
                "count": order.count, "fence": fence, "status": status.as_u16(),
            });
            self.gateway.log.line("upstreams_ordered", detail);
            if status == StatusCode::CONFLICT {
                let now_ms = self.gateway.clock.now_ms();
                let planner = self.planners.entry(order.pool.clone()).or_default();
                planner.record_refusal(&order, now_ms);
            } else if !status.is_success() {
                return self.handle_refusal(status);
            }
            self.unsent_orders.remove(0);
        }
    }

    /// Ends the lease if the platform rejected a call because of its fence; returns the error.
    fn handle_refusal(&mut self, status: StatusCode) -> Result<(), CallError> {
        // A rejection due to overload does not concern the fence.
        if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS {
            self.lease.invalidate();
        }
        Err(CallError::refused(status))
    }

    fn fence(&self) -> Option<u64> {
        self.lease.fence(self.gateway.clock.now_ms())
    }

    fn holder(&self, fence: u64) -> DutyHolder<'_> {
        DutyHolder {
            name: &self.gateway.settings.box_name,
            fence,
        }
    }

    async fn call_platform(
        &mut self,
        duty: &str,
        request: Request<Bytes>,
    ) -> Result<StatusCode, CallError> {
        let response = self.platform.call(request, self.call_timeout).await;
        let outcome = match &response {
            Ok(response) if response.status.is_success() => "ok",
            Ok(_) => "refused",
            Err(_) => "failed",
        };
        let calls = &self.gateway.metrics.duty_calls;
        calls.with_label_values(&[duty, outcome]).inc();
        Ok(response?.status)
    }
}
