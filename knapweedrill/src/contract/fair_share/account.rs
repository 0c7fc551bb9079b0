//! What one team has used of a minion's slots.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::Rank;
use crate::contract::Class;

/// How far a balance may run ahead of use or behind it, in seconds at the rate of the share.
const WINDOW_S: f64 = 1.0;

/// The weight in spare capacity of a team without a share.
const WEIGHT_MIN: f64 = 0.01;

/// The part that a new run time has in the mean.
const MEAN_GAIN: f64 = 0.2;

/// The run time that is assumed of a flow of which nothing has run yet, in seconds.
const RUN_TIME_UNKNOWN_S: f64 = 0.1;

/// The use of one slot, running or promised.
#[derive(Debug, Clone)]
struct Use {
    /// When the task started; `None` for a promise.
    started_at: Option<Instant>,
    /// What has been charged for it, in slot-seconds.
    charged_s: f64,
    /// Whether the team was below its guaranteed share when the use began.
    is_guaranteed: bool,
}

/// The uses of one class of a team.
#[derive(Debug, Clone, Default)]
struct ClassAccount {
    uses: SmallVec<[Use; 8]>,
    /// The start tag of the next task, in slot-seconds per unit of weight.
    tag_s: f64,
    mean_run_s: Option<f64>,
}

/// What one team has used of a minion's slots, in measured slot-seconds.
///
/// A use is charged with the mean of what the flow ran before as soon as it begins, goes on being
/// charged when it runs longer, and is corrected to the measured time when it ends.
#[derive(Debug, Clone)]
pub(super) struct Account {
    /// The slots that the share stands for.
    share_slots: f64,
    /// The slots that the cap stands for; `None` when there is no cap.
    cap_slots: Option<f64>,
    weight: f64,
    share_balance_s: f64,
    cap_balance_s: f64,
    classes: [ClassAccount; Class::ALL.len()],
    settled_at: Option<Instant>,
}

impl Account {
    /// Creates the account of a team without share and cap.
    pub(super) fn new() -> Self {
        Self {
            share_slots: 0.0,
            cap_slots: None,
            weight: WEIGHT_MIN,
            share_balance_s: 0.0,
            cap_balance_s: 0.0,
            classes: Default::default(),
            settled_at: None,
        }
    }

    /// Sets share and cap.
    pub(super) fn set_terms(&mut self, share_percent: u32, cap_percent: u32, slot_count: u32) {
        let slots = f64::from(slot_count);
        let share = f64::from(share_percent) / 100.0;
        let cap_slots = (cap_percent < 100).then(|| slots * f64::from(cap_percent) / 100.0);
        let was_unset = self.share_slots == 0.0;
        let had_cap = self.cap_slots.is_some();
        self.share_slots = slots * share;
        self.cap_slots = cap_slots;
        self.weight = share.max(WEIGHT_MIN);
        if was_unset {
            self.share_balance_s = self.share_balance_s.max(self.share_slots * WINDOW_S);
        }
        if !had_cap {
            self.cap_balance_s = cap_slots.unwrap_or(0.0) * WINDOW_S;
        }
    }

    /// Brings the balances up to `now`.
    pub(super) fn settle(&mut self, now: Instant) {
        let last = self.settled_at.unwrap_or(now);
        let elapsed_s = now.saturating_duration_since(last).as_secs_f64();
        self.settled_at = Some(last.max(now));
        let share_max_s = self.share_slots * WINDOW_S;
        self.share_balance_s =
            (self.share_balance_s + self.share_slots * elapsed_s).min(share_max_s);
        if let Some(cap_slots) = self.cap_slots {
            let cap_max_s = cap_slots * WINDOW_S;
            self.cap_balance_s = (self.cap_balance_s + cap_slots * elapsed_s).min(cap_max_s);
        }
        for class in Class::ALL {
            self.charge_overruns(class, now);
        }
    }

    fn charge_overruns(&mut self, class: Class, now: Instant) {
        for index in 0..self.classes[class as usize].uses.len() {
            let slot_use = &mut self.classes[class as usize].uses[index];
            let Some(started_at) = slot_use.started_at else {
                continue;
            };
            let run_s = now.saturating_duration_since(started_at).as_secs_f64();
            let overrun_s = run_s - slot_use.charged_s;
            if overrun_s > 0.0 {
                slot_use.charged_s = run_s;
                let is_guaranteed = slot_use.is_guaranteed;
                self.charge(class, overrun_s, is_guaranteed);
            }
        }
    }

    /// Charges slot-seconds; a negative amount is a refund.
    fn charge(&mut self, class: Class, amount_s: f64, is_guaranteed: bool) {
        self.classes[class as usize].tag_s += amount_s / self.weight;
        self.cap_balance_s -= amount_s;
        let balance_s = self.share_balance_s;
        let charged_s = balance_s - amount_s;
        self.share_balance_s = if is_guaranteed {
            charged_s
        } else if amount_s > 0.0 {
            // Use of spare capacity puts the guarantee off by no more than the window.
            charged_s.max(balance_s.min(-self.share_slots * WINDOW_S))
        } else {
            charged_s.min(balance_s.max(0.0))
        };
    }

    /// Returns whether a task of the team runs or has a promise.
    pub(super) fn is_in_use(&self) -> bool {
        self.classes.iter().any(|account| !account.uses.is_empty())
    }

    fn is_below_share(&self) -> bool {
        self.share_balance_s > 0.0
    }

    /// Returns the place of the next task of a class, or `None` if the cap holds it back.
    pub(super) fn rank(&self, class: Class, virtual_s: f64) -> Option<Rank> {
        self.rank_relieved(class, virtual_s, 0.0)
    }

    /// Returns the place of a task that was promised a slot, as if the promise had no charge.
    pub(super) fn rank_promised(&self, class: Class, virtual_s: f64) -> Option<Rank> {
        let relief_s = self.classes[class as usize]
            .uses
            .iter()
            .find(|slot_use| slot_use.started_at.is_none())
            .map_or(0.0, |promise| promise.charged_s);
        self.rank_relieved(class, virtual_s, relief_s)
    }

    fn rank_relieved(&self, class: Class, virtual_s: f64, relief_s: f64) -> Option<Rank> {
        if self.cap_slots.is_some() && self.cap_balance_s + relief_s <= 0.0 {
            return None;
        }
        let balance_s = self.share_balance_s + relief_s;
        let is_spare = self.share_slots == 0.0 || balance_s <= 0.0;
        let tag_s = if is_spare {
            self.tag_s(class, virtual_s) - relief_s / self.weight
        } else {
            -balance_s / self.share_slots
        };
        Some(Rank {
            is_spare,
            class,
            tag_s,
        })
    }

    /// Returns the start tag of a flow where the virtual time is `virtual_s`.
    ///
    /// A flow that uses nothing does not stay behind the virtual time, or it would save up claims.
    fn tag_s(&self, class: Class, virtual_s: f64) -> f64 {
        let account = &self.classes[class as usize];
        if account.uses.is_empty() {
            account.tag_s.max(virtual_s)
        } else {
            account.tag_s
        }
    }

    /// Begins a use: a running task, or a promise when `started_at` is `None`.
    pub(super) fn begin(&mut self, class: Class, started_at: Option<Instant>, virtual_s: f64) {
        let tag_s = self.tag_s(class, virtual_s);
        let is_guaranteed = self.is_below_share();
        let account = &mut self.classes[class as usize];
        account.tag_s = tag_s;
        let charged_s = account.mean_run_s.unwrap_or(RUN_TIME_UNKNOWN_S);
        account.uses.push(Use {
            started_at,
            charged_s,
            is_guaranteed,
        });
        self.charge(class, charged_s, is_guaranteed);
    }

    /// Ends a running task that held its slot for `run_time`.
    pub(super) fn end(&mut self, class: Class, run_time: Duration, now: Instant) {
        let account = &mut self.classes[class as usize];
        let nearest = account
            .uses
            .iter()
            .enumerate()
            .filter_map(|(index, slot_use)| Some((index, slot_use.started_at?)))
            .min_by_key(|(_, started_at)| {
                now.saturating_duration_since(*started_at)
                    .abs_diff(run_time)
            });
        let Some((index, _)) = nearest else {
            return;
        };
        let ended = account.uses.remove(index);
        let run_s = run_time.as_secs_f64();
        let mean_s = account.mean_run_s.unwrap_or(run_s);
        account.mean_run_s = Some(mean_s + MEAN_GAIN * (run_s - mean_s));
        self.charge(class, run_s - ended.charged_s, ended.is_guaranteed);
    }

    /// Takes back a promise.
    pub(super) fn release(&mut self, class: Class) {
        let uses = &mut self.classes[class as usize].uses;
        let promise = uses
            .iter()
            .position(|slot_use| slot_use.started_at.is_none());
        if let Some(index) = promise {
            let released = uses.remove(index);
            self.charge(class, -released.charged_s, released.is_guaranteed);
        }
    }
}
