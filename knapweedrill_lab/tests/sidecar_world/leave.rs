use rand::RngExt;

use super::SidecarWorld;
use super::input::Input;

/// The times of a minion that leaves, in milliseconds.
#[derive(Debug)]
pub(super) struct Leave {
    /// When it deregisters; `None` once it has.
    deregisters_ms: Option<u64>,
    ends_ms: u64,
}

impl SidecarWorld {
    /// Lets the minion drain from now on.
    pub(super) fn begin_leave(&mut self) {
        if self.leave.is_some() || self.is_minion_down() {
            return;
        }
        let deregisters_ms = self.now_ms + self.random.random_range(20..2_500);
        let ends_ms = deregisters_ms + self.random.random_range(0..4_000);
        self.heartbeat_due_ms = self.now_ms;
        self.leave = Some(Leave {
            deregisters_ms: Some(deregisters_ms),
            ends_ms,
        });
    }

    /// Lets the minion deregister or end when that is due.
    pub(super) fn go_on_with_leave(&mut self) {
        let now_ms = self.now_ms;
        let Some(leave) = &mut self.leave else {
            return;
        };
        let ends = leave.ends_ms <= now_ms;
        if leave.deregisters_ms.take_if(|at| *at <= now_ms).is_some() {
            let instance = self.minion.instance.clone();
            self.record(format!("{instance} deregisters"));
            let delay_ms = match self.chance(200) {
                true => 100..3_000,
                false => 0..4,
            };
            self.send_input(delay_ms, Input::Left(instance));
        }
        if ends {
            let down_ms = self.random.random_range(3..900);
            self.crash_minion(down_ms, false);
        }
    }
}
