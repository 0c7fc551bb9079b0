//! Accounting of the slot time that a team uses on a minion.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::Rank;
use crate::contract::Class;

/// The bound on balances: the slot time that accrues in this many seconds.
const BALANCE_WINDOW_S: f64 = 1.0;

/// The weight of a team without a share when spare capacity is distributed.
const WEIGHT_MIN: f64 = 0.01;

/// The weight of a new run time in the moving average.
const RUN_TIME_GAIN: f64 = 0.2;

/// The assumed run time of a flow without completed tasks, in seconds.
const RUN_TIME_INITIAL_S: f64 = 0.1;

/// The use of one slot by a running task or a reservation.
#[derive(Debug, Clone)]
struct SlotUse {
    /// When the task started; `None` for a reservation.
    started_at: Option<Instant>,
    /// The amount charged so far, in slot-seconds.
    charged_s: f64,
    /// Whether the team was below its guaranteed share when the use began.
    is_guaranteed: bool,
}

/// The slot uses of one class of a team.
#[derive(Debug, Clone, Default)]
struct ClassAccount {
    uses: SmallVec<[SlotUse; 8]>,
    /// The start tag of the next task, in slot-seconds per unit of weight.
    start_tag_s: f64,
    mean_run_s: Option<f64>,
}

/// Accounts the slot time that a team uses on a minion, in slot-seconds.
///
/// A use is charged the mean run time of its flow when it begins and any overrun while it lasts.
/// When it ends, the charge is corrected to the measured time.
#[derive(Debug, Clone)]
pub(super) struct Account {
    /// The number of slots that corresponds to the share.
    share_slots: f64,
    /// The number of slots that corresponds to the cap; `None` without a cap.
    cap_slots: Option<f64>,
    weight: f64,
    share_balance_s: f64,
    cap_balance_s: f64,
    classes: [ClassAccount; Class::ALL.len()],
    updated_at: Option<Instant>,
}

impl Account {
    /// Creates the account of a team without a share or cap.
    pub(super) fn new() -> Self {
        Self {
            share_slots: 0.0,
            cap_slots: None,
            weight: WEIGHT_MIN,
            share_balance_s: 0.0,
            cap_balance_s: 0.0,
            classes: Default::default(),
            updated_at: None,
        }
    }

    /// Sets the share and the cap.
    ///
    /// A team that had no share, or no cap, starts with a full balance of it.
    pub(super) fn set_share_and_cap(
        &mut self,
        share_percent: u32,
        cap_percent: u32,
        slot_count: u32,
    ) {
        let slots = f64::from(slot_count);
        let share = f64::from(share_percent) / 100.0;
        let cap_slots = (cap_percent < 100).then(|| slots * f64::from(cap_percent) / 100.0);
        let was_unset = self.share_slots == 0.0;
        let had_cap = self.cap_slots.is_some();
        self.share_slots = slots * share;
        self.cap_slots = cap_slots;
        self.weight = share.max(WEIGHT_MIN);
        if was_unset {
            self.share_balance_s = self
                .share_balance_s
                .max(self.share_slots * BALANCE_WINDOW_S);
        }
        if !had_cap {
            self.cap_balance_s = cap_slots.unwrap_or(0.0) * BALANCE_WINDOW_S;
        }
    }

    /// Accrues both balances up to `now` and charges overruns.
    pub(super) fn update(&mut self, now: Instant) {
        let last = self.updated_at.unwrap_or(now);
        let elapsed_s = now.saturating_duration_since(last).as_secs_f64();
        self.updated_at = Some(last.max(now));
        let share_max_s = self.share_slots * BALANCE_WINDOW_S;
        self.share_balance_s =
            (self.share_balance_s + self.share_slots * elapsed_s).min(share_max_s);
        if let Some(cap_slots) = self.cap_slots {
            let cap_max_s = cap_slots * BALANCE_WINDOW_S;
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
        self.classes[class as usize].start_tag_s += amount_s / self.weight;
        self.cap_balance_s -= amount_s;
        let balance_s = self.share_balance_s;
        let charged_s = balance_s - amount_s;
        self.share_balance_s = if is_guaranteed {
            charged_s
        } else if amount_s > 0.0 {
            // Use of spare capacity delays the guaranteed share by at most the balance window.
            charged_s.max(balance_s.min(-self.share_slots * BALANCE_WINDOW_S))
        } else {
            charged_s.min(balance_s.max(0.0))
        };
    }

    /// Returns whether the team has a running task or a reservation.
    pub(super) fn is_in_use(&self) -> bool {
        self.classes.iter().any(|account| !account.uses.is_empty())
    }

    fn is_below_share(&self) -> bool {
        self.share_balance_s > 0.0
    }

    /// Returns the rank of the next task of a class, or `None` if the cap blocks it.
    pub(super) fn rank(&self, class: Class, virtual_s: f64) -> Option<Rank> {
        self.rank_with_refund(class, virtual_s, 0.0)
    }

    /// Returns the rank of a task with a reserved slot, as if the reservation had not been charged.
    pub(super) fn rank_reserved(&self, class: Class, virtual_s: f64) -> Option<Rank> {
        let refund_s = self.classes[class as usize]
            .uses
            .iter()
            .find(|slot_use| slot_use.started_at.is_none())
            .map_or(0.0, |reservation| reservation.charged_s);
        self.rank_with_refund(class, virtual_s, refund_s)
    }

    fn rank_with_refund(&self, class: Class, virtual_s: f64, refund_s: f64) -> Option<Rank> {
        if self.cap_slots.is_some() && self.cap_balance_s + refund_s <= 0.0 {
            return None;
        }
        let balance_s = self.share_balance_s + refund_s;
        let is_spare = self.share_slots == 0.0 || balance_s <= 0.0;
        let order_s = if is_spare {
            self.start_tag_s(class, virtual_s) - refund_s / self.weight
        } else {
            -balance_s / self.share_slots
        };
        Some(Rank {
            is_spare,
            class,
            order_s,
        })
    }

    /// Returns the start tag of a flow at the virtual time `virtual_s`.
    ///
    /// The tag of an idle flow is at least the virtual time; otherwise the flow would accumulate
    /// credit while idle and monopolise spare capacity afterwards.
    fn start_tag_s(&self, class: Class, virtual_s: f64) -> f64 {
        let account = &self.classes[class as usize];
        if account.uses.is_empty() {
            account.start_tag_s.max(virtual_s)
        } else {
            account.start_tag_s
        }
    }

    /// Begins the use of a slot by a running task, or by a reservation if `started_at` is `None`.
    pub(super) fn begin(&mut self, class: Class, started_at: Option<Instant>, virtual_s: f64) {
        let start_tag_s = self.start_tag_s(class, virtual_s);
        let is_guaranteed = self.is_below_share();
        let account = &mut self.classes[class as usize];
        account.start_tag_s = start_tag_s;
        let charged_s = account.mean_run_s.unwrap_or(RUN_TIME_INITIAL_S);
        account.uses.push(SlotUse {
            started_at,
            charged_s,
            is_guaranteed,
        });
        self.charge(class, charged_s, is_guaranteed);
    }

    /// Ends the use by a task that occupied its slot for `run_time`.
    ///
    /// Tasks are not identified, so this ends the use whose duration is nearest to `run_time`.
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
        account.mean_run_s = Some(mean_s + RUN_TIME_GAIN * (run_s - mean_s));
        self.charge(class, run_s - ended.charged_s, ended.is_guaranteed);
    }

    /// Releases a reservation and refunds its charge.
    pub(super) fn release(&mut self, class: Class) {
        let uses = &mut self.classes[class as usize].uses;
        let reservation = uses
            .iter()
            .position(|slot_use| slot_use.started_at.is_none());
        if let Some(index) = reservation {
            let released = uses.remove(index);
            self.charge(class, -released.charged_s, released.is_guaranteed);
        }
    }
}
