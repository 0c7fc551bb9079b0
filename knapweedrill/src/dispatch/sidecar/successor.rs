//! The instance that may follow the current minion.

use super::MinionHeartbeat;

/// The last heartbeat of another instance, kept until the current minion is proven to have ended.
///
/// A heartbeat alone proves nothing: a predecessor that drains still works, and a start time may be
/// odd.
#[derive(Debug, Default)]
pub(super) struct Successor {
    heartbeat: Option<MinionHeartbeat>,
}

impl Successor {
    /// Notes a heartbeat, which replaces that of any other instance. Returns whether it is the first
    /// one of its incarnation.
    pub(super) fn note(&mut self, heartbeat: MinionHeartbeat) -> bool {
        let known = self.heartbeat.as_ref().filter(|known| {
            known.profile.instance == heartbeat.profile.instance
                && known.started_unix_ms == heartbeat.started_unix_ms
        });
        let is_new = known.is_none();
        if known.is_none_or(|known| known.sequence < heartbeat.sequence) {
            self.heartbeat = Some(heartbeat);
        }
        is_new
    }

    /// Forgets the instance with this name, which has deregistered.
    pub(super) fn forget(&mut self, instance: &str) {
        self.heartbeat
            .take_if(|known| known.profile.instance == instance);
    }

    /// Removes and returns the heartbeat.
    pub(super) fn take(&mut self) -> Option<MinionHeartbeat> {
        self.heartbeat.take()
    }
}
