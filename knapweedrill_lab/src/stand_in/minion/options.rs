//! The options of a minion's stand-in.

use std::net::SocketAddr;

use knapweedrill::common::ServiceName;

const DEFAULT_SLOTS: u32 = 8;
const DEFAULT_SPEED_PERCENT: u32 = 100;

/// A builder for the options of a minion's stand-in.
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
    /// Creates the options of a minion with 8 slots and speed 100 % that announces itself to
    /// `sidecar`.
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

    /// Sets the address to announce, if it differs from the listen address.
    pub fn advertised(mut self, address: SocketAddr) -> Self {
        self.advertised = Some(address);
        self
    }

    /// Sets the number of slots to announce, which is how many tasks the sidecar may start at once.
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
        assert!(speed_percent > 0, "the speed of a minion must be above 0 %");
        self.speed_percent = speed_percent;
        self
    }
}
