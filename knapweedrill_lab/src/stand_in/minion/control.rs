//! How tests control the stand-in for a minion.

use knapweedrill_derive::{key, message};

/// How the minion treats tasks.
#[key]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum MinionMode {
    /// Runs each task.
    #[default]
    Normal,
    /// Fails each task at once.
    FailEverything,
    /// Takes each task and never answers.
    NeverAnswer,
    /// Runs each task slower than its speed says.
    Slow,
    /// Runs each task and closes the connection within the answer.
    BreakOff,
}

/// The body of `POST /control`.
#[message]
#[derive(Copy)]
pub struct MinionControl {
    /// How the minion treats tasks from now on.
    pub mode: MinionMode,
    /// The run time in [`MinionMode::Slow`], in per cent of the usual.
    #[serde(default = "usual_percent")]
    pub run_time_percent: u64,
    /// How many slots the minion announces from now on, if not those that it started with.
    #[serde(default)]
    pub slots: Option<u32>,
}

impl MinionControl {
    /// Creates the control for a mode at the usual run time.
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
