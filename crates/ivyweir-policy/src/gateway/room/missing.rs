//! Boxes that are known but do not report: whether they are cut off and still send, or have ended.
//!
//! They are assumed to behave like the others until load figures of the upstreams, which count the requests of all boxes,
//! show fewer requests than that.

use super::flow::PoolFlow;

/// Time constant of the estimate. A box among 300 gets three load figures in this time.
const SMOOTHING_MS: f64 = 5_000.0;

/// Estimate of the part of the missing boxes that still send.
#[derive(Debug)]
pub struct MissingBoxes {
    sending_part: f64,
    /// Smoothed requests according to load figures and to reports. Their ratio is taken after smoothing: single ratios
    /// vary widely and are on average too high.
    figures: f64,
    reported: f64,
    at_ms: u64,
}

impl Default for MissingBoxes {
    fn default() -> Self {
        Self {
            sending_part: 1.0,
            figures: 0.0,
            reported: 0.0,
            at_ms: 0,
        }
    }
}

impl MissingBoxes {
    /// Compares the requests at upstreams according to their load figures with those that the boxes of `flow` reported
    /// there; `boxes` are known.
    pub fn observe(
        &mut self,
        flow: &PoolFlow,
        boxes: u32,
        figures: f64,
        reported: f64,
        now_ms: u64,
    ) {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.at_ms = now_ms;
        let missing = f64::from(boxes) / f64::from(flow.boxes.max(1)) - 1.0;
        if missing <= 0.0 {
            (self.figures, self.reported) = (0.0, 0.0);
            self.sending_part = 1.0;
        } else if reported >= 1.0 {
            let weight = 1.0 - (-passed_ms / SMOOTHING_MS).exp();
            // The assumption counts as the first sample.
            if self.reported == 0.0 {
                (self.figures, self.reported) = (reported * (1.0 + missing), reported);
            }
            self.figures += weight * (figures - self.figures);
            self.reported += weight * (reported - self.reported);
            let ratio = self.figures / self.reported;
            self.sending_part = ((ratio - 1.0) / missing).clamp(0.0, 1.0);
        }
    }

    /// Number of boxes that send: those of `flow` and a part of the others that are known.
    pub fn sending_boxes(&self, flow: &PoolFlow, boxes: u32) -> f64 {
        let reporting = f64::from(flow.boxes.max(1));
        let missing = (f64::from(boxes) - reporting).max(0.0);
        reporting + missing * self.sending_part
    }
}
