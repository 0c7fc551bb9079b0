//! The request body of `POST /v1/minion`, with which a minion registers with its sidecar.

use std::net::SocketAddr;

use knapweedrill_derive::message;

use super::RequestError;
use crate::common::ServiceName;
use crate::ini::{NAME_ALLOWED, is_name};
use crate::minion::MinionState;

const SLOT_COUNT_MAX: u32 = 10_000;

const SPEED_MAX_PERCENT: u32 = 100_000;

const SPEED_DEFAULT_PERCENT: u32 = 100;

/// The registration of a minion with its sidecar.
#[message]
#[serde(deny_unknown_fields)]
pub struct MinionRequest {
    /// The service that the minion belongs to.
    pub service: ServiceName,
    /// The address at which the minion accepts calls that run tasks.
    pub address: SocketAddr,
    /// How many tasks the minion runs concurrently, 1 to 10,000.
    pub slots: u32,
    /// The speed that the minion declares, in per cent of that of a minion of speed 1.
    #[serde(default = "speed_default_percent")]
    pub speed_hint_percent: u32,
    /// Whether the minion accepts new tasks: `serving` or `leaving`.
    pub state: MinionState,
}

impl MinionRequest {
    /// Validates the constraints that the field types do not express.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid field and the values that are allowed.
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
