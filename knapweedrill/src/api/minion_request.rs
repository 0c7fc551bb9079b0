//! The body of `POST /v1/minion`, by which a minion announces itself to its sidecar.

use std::net::SocketAddr;

use knapweedrill_derive::message;

use super::RequestError;
use crate::common::ServiceName;
use crate::ini::{NAME_ALLOWED, is_name};
use crate::minion::MinionState;

/// The most slots of a minion.
const SLOT_COUNT_MAX: u32 = 10_000;

/// The highest speed that a minion may claim, in per cent.
const SPEED_MAX_PERCENT: u32 = 100_000;

const SPEED_DEFAULT_PERCENT: u32 = 100;

/// What a minion tells its sidecar about itself.
#[message]
#[serde(deny_unknown_fields)]
pub struct MinionRequest {
    /// The service that the minion belongs to.
    pub service: ServiceName,
    /// The address at which the minion runs tasks.
    pub address: SocketAddr,
    /// How many tasks it runs at once.
    pub slots: u32,
    /// The speed that it claims, in per cent of that of a minion of speed 1.
    #[serde(default = "speed_default_percent")]
    pub speed_hint_percent: u32,
    /// Whether it takes new work: `serving` or `leaving`.
    pub state: MinionState,
}

impl MinionRequest {
    /// Checks what the types leave open.
    ///
    /// # Errors
    ///
    /// Returns an error that names the field and what is allowed.
    pub fn validate(&self) -> Result<(), RequestError> {
        let error = |field, allowed| Err(RequestError::new(field, allowed));
        if !is_name(&self.service) {
            return error("service", NAME_ALLOWED);
        }
        if self.address.port() == 0 {
            return error("address", "an IP address and a port other than 0");
        }
        if !(1..=SLOT_COUNT_MAX).contains(&self.slots) {
            return error("slots", "1 to 10000");
        }
        if !(1..=SPEED_MAX_PERCENT).contains(&self.speed_hint_percent) {
            return error("speed_hint_percent", "1 to 100000");
        }
        if self.state == MinionState::Absent {
            return error("state", "serving, leaving");
        }
        Ok(())
    }
}

fn speed_default_percent() -> u32 {
    SPEED_DEFAULT_PERCENT
}
