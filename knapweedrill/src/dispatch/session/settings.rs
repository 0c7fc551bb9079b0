//! Settings of sessions.

use std::time::Duration;

/// Times of a session.
#[derive(Debug, Clone, Copy)]
pub struct SessionSettings {
    /// How soon a message that was not acknowledged is sent again. Twenty round trips between
    /// two failure domains.
    pub resend_after: Duration,
    /// The longest wait between two such attempts.
    pub resend_after_max: Duration,
    /// How long an acknowledgement waits for a message to ride on. Half of `resend_after`.
    pub acknowledge_after: Duration,
    /// The pause between datagrams of a session with work. A quarter of the time after which
    /// the sidecar stops runs of a silent entry, so that two in a row may be lost.
    pub busy_beat: Duration,
    /// The pause between datagrams of a sidecar on a session without work. An order names the newest
    /// stamp of its sidecar, which is to be young enough for the run to outlive the next beats.
    pub idle_beat: Duration,
    /// The pause between datagrams of an entry on a session without work, which only keep it open: a
    /// sixth of `expire_after`.
    pub keep_beat: Duration,
    /// How long the other side may be silent before it counts as out of reach. Two and a half
    /// beats of a session with work.
    pub silent_after: Duration,
    /// The pause between greetings of a process that does not answer.
    pub greet_every: Duration,
    /// The shortest pause between two datagrams that tell nothing but a new state, on a session with
    /// work.
    pub status_every: Duration,
    /// How long an entry may be silent before its sidecar forgets the session. Longer than the platform
    /// lets a machine freeze, so that a session is seldom opened anew.
    pub expire_after: Duration,
}

impl Default for SessionSettings {
    fn default() -> Self {
        Self {
            resend_after: Duration::from_millis(40),
            resend_after_max: Duration::from_millis(320),
            acknowledge_after: Duration::from_millis(20),
            busy_beat: Duration::from_millis(150),
            idle_beat: Duration::from_millis(250),
            keep_beat: Duration::from_millis(1_500),
            silent_after: Duration::from_millis(375),
            greet_every: Duration::from_millis(400),
            status_every: Duration::from_millis(40),
            expire_after: Duration::from_millis(9_000),
        }
    }
}
