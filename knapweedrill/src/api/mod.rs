//! The HTTP interface: paths, headers and JSON bodies, shared by the daemon and its clients.
//!
//! [`ApiCall`] represents a call with its path and query; [`JobRequest`] and [`JobResponse`] are
//! the bodies of calls about jobs. A response states `not-run` only if no task of the job ran. A
//! malformed status or cancel request gets `unknown`, since the job itself may have run.

mod apply_response;
mod call;
mod call_error;
mod configuration_response;
mod content;
mod drain_response;
mod error_response;
mod events_response;
mod expected_parent;
mod job_outcome;
mod job_request;
mod job_response;
mod minion_request;
mod owner_response;
mod query;
mod reason;
mod request_error;
mod response_error;
mod show_response;
mod status;

pub use apply_response::{ApplyOutcome, ApplyResponse};
pub use call::{ApiCall, Method};
pub use call_error::CallError;
pub use configuration_response::ConfigurationResponse;
pub use content::{Content, ContentError};
pub use drain_response::DrainResponse;
pub use error_response::ErrorResponse;
pub use events_response::{EventsResponse, Peer};
pub use expected_parent::{ExpectedParent, ExpectedParentError};
pub use job_outcome::JobOutcome;
pub use job_request::{JobRequest, TaskRequest};
pub use job_response::JobResponse;
pub use minion_request::MinionRequest;
pub use owner_response::OwnerResponse;
pub use reason::Reason;
pub use request_error::RequestError;
pub use response_error::ResponseError;
pub use show_response::{EntryView, MinionView, ServiceView, ShowResponse, TeamView};
pub use status::HttpStatus;

use std::time::Duration;

/// The header that carries an owner token in requests and in every response of an entry.
pub const OWNER_HEADER: &str = "Knapweedrill-Owner";

/// The header with the number of seconds after which a retry may succeed.
pub const RETRY_AFTER_HEADER: &str = "Retry-After";

/// The media type of all bodies except configuration files.
pub const JSON_TYPE: &str = "application/json";

/// How long a submission waits for its outcome unless it sets `wait_ms`.
pub const WAIT_DEFAULT: Duration = Duration::from_secs(30);

/// The longest time that a call waits for an outcome; longer waits are shortened to it.
pub const WAIT_MAX: Duration = Duration::from_secs(600);

/// The length of the longest valid job key, in characters.
pub const KEY_LENGTH_MAX: usize = 128;

/// The valid job keys, as error messages describe them.
pub const KEY_ALLOWED: &str = "1 to 128 characters of A-Z, a-z, 0-9, '.', '_', '~' and '-'";

/// Returns whether a text is a valid job key.
///
/// Valid keys consist of the unreserved characters of URLs, so they need no escaping in a path.
pub fn is_client_key(text: &str) -> bool {
    let is_allowed = |c: u8| c.is_ascii_alphanumeric() || b"._~-".contains(&c);
    (1..=KEY_LENGTH_MAX).contains(&text.len()) && text.bytes().all(is_allowed)
}
