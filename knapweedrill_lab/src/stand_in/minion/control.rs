//! The control interface by which tests set the behavior of a minion's stand-in.

use knapweedrill_derive::{key, message};

/// How the minion responds to tasks.
#[key]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum MinionMode {
    /// Runs each task.
    #[default]
    Normal,
    /// Fails each task at once.
    FailEverything,
    /// Accepts each task and never responds.
    NeverAnswer,
    /// Runs each task for [`MinionControl::run_time_percent`] of its normal run time.
    Slow,
    /// Runs each task and closes the connection in the middle of the response.
    BreakOff,
}

/// The body of `POST /control`.
#[message]
#[derive(Copy)]
pub struct MinionControl {
    /// How the minion responds to tasks from now on.
    pub mode: MinionMode,
    /// The run time in [`MinionMode::Slow`], in percent of the normal run time.
    #[serde(default = "usual_percent")]
    pub run_time_percent: u64,
    /// The number of slots that the minion announces from now on; `None` keeps the initial one.
    #[serde(default)]
    pub slots: Option<u32>,
}

impl MinionControl {
    /// Creates the control for a mode with the normal run time and the initial slots.
    pub fn new(mode: MinionMode) -> Self {
        Self {
            mode,
            run_time_percent: usual_percent(),
            slots: None,
        }
    }
}

impl Default for MinionControl {
    fn default() -> Self {
        Self::new(MinionMode::default())
    }
}

fn usual_percent() -> u64 {
    100
}
