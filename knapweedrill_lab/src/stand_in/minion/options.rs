//! What a minion is like.

use std::net::SocketAddr;

use knapweedrill::common::ServiceName;

const DEFAULT_SLOTS: u32 = 8;
const DEFAULT_SPEED_PERCENT: u32 = 100;

/// What a minion is like; a builder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MinionOptions {
    pub(super) listen: SocketAddr,
    pub(super) sidecar: SocketAddr,
    pub(super) service: ServiceName,
    pub(super) slots: u32,
    pub(super) speed_percent: u32,
    pub(super) advertised: Option<SocketAddr>,
}

impl MinionOptions {
    /// Creates the options of a minion beside a sidecar, with 8 slots and speed 100 %.
    pub fn new(listen: SocketAddr, sidecar: SocketAddr, service: impl Into<ServiceName>) -> Self {
        Self {
            listen,
            sidecar,
            service: service.into(),
            slots: DEFAULT_SLOTS,
            speed_percent: DEFAULT_SPEED_PERCENT,
            advertised: None,
        }
    }

    /// Sets the address that the sidecar is told, if it is not the one listened on.
    pub fn advertised(mut self, address: SocketAddr) -> Self {
        self.advertised = Some(address);
        self
    }

    /// Sets how many tasks the minion runs at once.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the speed; at 200 % a task takes half its time.
    ///
    /// # Panics
    ///
    /// Panics if the speed is 0.
    pub fn speed_percent(mut self, speed_percent: u32) -> Self {
        assert!(speed_percent > 0, "a minion has a speed above 0 %");
        self.speed_percent = speed_percent;
        self
    }
}
