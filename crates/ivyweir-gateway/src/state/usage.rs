//! Requests that began, counted for reports of usage.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::duty::report::UsageSchedule;
use ivyweir_policy::gateway::duty::usage::{
    BoxRun, Counts, UpdateContent, UsageTable, UsageUpdate,
};
use ivyweir_policy::gateway::duty::wall_clock::StableWallClock;

use super::{Gateway, lock};
use crate::clock;
use crate::settings::Settings;

/// What this box knows of usage; nothing is counted where none is reported.
pub(super) struct UsageCount {
    terms: Option<UsageSchedule>,
    epoch: StableWallClock,
    table: UsageTable,
}

impl UsageCount {
    /// Nothing counted yet in this run of the process.
    pub(super) fn new(settings: &Settings, run: u64) -> Self {
        let usage = settings.duties.and_then(|duties| duties.usage);
        Self {
            terms: usage.map(|usage| usage.schedule()),
            epoch: StableWallClock::default(),
            table: UsageTable::new(BoxRun {
                name: settings.box_name.clone(),
                run,
            }),
        }
    }
}

impl Gateway {
    /// Counts a request of a workspace that begins to run now.
    pub fn count_begun(&self, workspace: &Name) {
        let mut usage = lock(&self.usage);
        if let Some(terms) = usage.terms {
            let window = terms.window_at(self.epoch_ms(&mut usage));
            usage.table.count(workspace, window);
        }
    }

    /// The time of day by which usage is counted.
    pub fn usage_epoch_ms(&self) -> u64 {
        self.epoch_ms(&mut lock(&self.usage))
    }

    /// The counts of these windows over all boxes.
    pub fn usage_of(&self, windows: impl Iterator<Item = u64>) -> Vec<(u64, Counts)> {
        let usage = lock(&self.usage);
        let counts = windows.map(|window| (window, usage.table.total(window)));
        counts.collect()
    }

    /// The first window in which anything was counted, as far as is remembered.
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

    /// What another box is to be told of usage.
    pub fn usage_news_for(&self, peer: &Name, telling: UpdateContent) -> Option<UsageUpdate> {
        let now_ms = self.clock.now_ms();
        let mut usage = lock(&self.usage);
        usage.terms?;
        usage.table.update_for(peer, telling, now_ms)
    }

    /// Takes in what another box told of usage; `is_near` says that it is of this hall.
    pub fn hear_usage(&self, peer: &Name, news: UsageUpdate, is_near: bool) {
        let now_ms = self.clock.now_ms();
        lock(&self.usage).table.apply(peer, news, is_near, now_ms);
    }

    /// Forgets windows that are long past.
    pub(super) fn sweep_usage(&self) {
        let mut usage = lock(&self.usage);
        if let Some(terms) = usage.terms {
            let oldest = terms.oldest_kept(self.epoch_ms(&mut usage));
            let now_ms = self.clock.now_ms();
            usage.table.discard_before(oldest, now_ms);
        }
    }

    fn epoch_ms(&self, usage: &mut UsageCount) -> u64 {
        usage.epoch.epoch_ms(clock::epoch_ms(), self.clock.now_ms())
    }
}
