//! Counts of started requests for the usage reports.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::duty::report::UsageSchedule;
use ivyweir_policy::gateway::duty::usage::{
    BoxRun, Counts, UpdateContent, UsageTable, UsageUpdate,
};
use ivyweir_policy::gateway::duty::wall_clock::StableWallClock;

use super::Gateway;
use crate::clock;
use crate::mutex::lock;
use crate::settings::Settings;

/// Usage counts known to this box. Nothing is counted if usage is not reported.
pub(super) struct UsageCounter {
    schedule: Option<UsageSchedule>,
    wall_clock: StableWallClock,
    table: UsageTable,
}

impl UsageCounter {
    /// Creates empty counts for this run of the process.
    pub(super) fn new(settings: &Settings, run_id: u64) -> Self {
        let usage = settings.duties.and_then(|duties| duties.usage);
        Self {
            schedule: usage.map(|usage| usage.schedule()),
            wall_clock: StableWallClock::default(),
            table: UsageTable::new(BoxRun {
                name: settings.box_name.clone(),
                run: run_id,
            }),
        }
    }
}

impl Gateway {
    /// Counts a request of a workspace that starts to run now.
    pub fn count_usage(&self, workspace: &Name) {
        let mut usage = lock(&self.usage);
        if let Some(schedule) = usage.schedule {
            let window = schedule.window_at(self.epoch_ms(&mut usage));
            usage.table.count(workspace, window);
        }
    }

    /// Wall-clock time by which usage is counted, in milliseconds since the Unix epoch.
    pub fn usage_epoch_ms(&self) -> u64 {
        self.epoch_ms(&mut lock(&self.usage))
    }

    /// Total counts over all boxes for each of these windows.
    pub fn usage_totals(&self, windows: impl Iterator<Item = u64>) -> Vec<(u64, Counts)> {
        let usage = lock(&self.usage);
        let counts = windows.map(|window| (window, usage.table.total(window)));
        counts.collect()
    }

    /// The earliest retained window with a count.
    pub fn first_usage_window(&self) -> Option<u64> {
        lock(&self.usage).table.first_window()
    }

    /// Notes that the usage reports of this window and all earlier ones are fixed.
    pub fn note_fixed_usage_window(&self, window: u64) {
        lock(&self.usage).table.note_fixed_window(window);
    }

    /// The newest window whose usage report is known to have been fixed by any box.
    pub fn fixed_usage_window(&self) -> Option<u64> {
        lock(&self.usage).table.fixed_window()
    }

    /// Usage update for another box; `None` if usage is not reported or there is nothing to send.
    pub fn usage_update_for(&self, peer: &Name, content: UpdateContent) -> Option<UsageUpdate> {
        let now_ms = self.clock.now_ms();
        let mut usage = lock(&self.usage);
        usage.schedule?;
        usage.table.update_for(peer, content, now_ms)
    }

    /// Applies a usage update from another box; `is_same_hall` says whether that box is in the hall of this one.
    pub fn apply_usage_update(&self, peer: &Name, update: UsageUpdate, is_same_hall: bool) {
        let now_ms = self.clock.now_ms();
        lock(&self.usage)
            .table
            .apply(peer, update, is_same_hall, now_ms);
    }

    /// Removes windows that are past their retention period.
    pub(super) fn sweep_usage(&self) {
        let mut usage = lock(&self.usage);
        if let Some(schedule) = usage.schedule {
            let oldest = schedule.oldest_kept(self.epoch_ms(&mut usage));
            let now_ms = self.clock.now_ms();
            usage.table.discard_before(oldest, now_ms);
        }
    }

    fn epoch_ms(&self, usage: &mut UsageCounter) -> u64 {
        usage
            .wall_clock
            .epoch_ms(clock::epoch_ms(), self.clock.now_ms())
    }
}
