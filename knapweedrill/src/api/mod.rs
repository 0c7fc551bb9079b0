//! The HTTP interface: paths, headers and JSON bodies, shared by daemon and client.
//!
//! [`ApiCall`] names each call with its path and query; [`JobRequest`] and [`JobAnswer`] are the
//! bodies of jobs. An answer says `not-run` only if no task ran; a malformed question about a job
//! is answered `unknown`, since it says nothing about the job itself.

mod answer_error;
mod apply_answer;
mod call;
mod call_error;
mod configuration_answer;
mod content;
mod drain_answer;
mod error_answer;
mod events_answer;
mod job_answer;
mod job_outcome;
mod job_request;
mod minion_request;
mod owner_answer;
mod parent;
mod query;
mod reason;
mod request_error;
mod show_answer;
mod status;

pub use answer_error::AnswerError;
pub use apply_answer::{ApplyAnswer, ApplyOutcome};
pub use call::{ApiCall, Method};
pub use call_error::CallError;
pub use configuration_answer::ConfigurationAnswer;
pub use content::{Content, ContentError};
pub use drain_answer::DrainAnswer;
pub use error_answer::ErrorAnswer;
pub use events_answer::{EventsAnswer, Peer};
pub use job_answer::JobAnswer;
pub use job_outcome::JobOutcome;
pub use job_request::{JobRequest, TaskRequest};
pub use minion_request::MinionRequest;
pub use owner_answer::OwnerAnswer;
pub use parent::{Parent, ParentError};
pub use reason::Reason;
pub use request_error::RequestError;
pub use show_answer::{EntryView, MinionView, ServiceView, ShowAnswer, TeamView};
pub use status::HttpStatus;

use std::time::Duration;

/// The header that carries an owner token, in a request and in every response of an entry.
pub const OWNER_HEADER: &str = "Knapweedrill-Owner";

/// The header that tells in seconds when another try is worthwhile.
pub const RETRY_AFTER_HEADER: &str = "Retry-After";

/// The media type of every body but that of a configuration.
pub const JSON_TYPE: &str = "application/json";

/// The time that a submission waits for its outcome if it names none.
pub const WAIT_DEFAULT: Duration = Duration::from_secs(30);

/// The longest time that a call waits for an outcome.
pub const WAIT_MAX: Duration = Duration::from_secs(600);

/// The longest key of a job, in characters.
pub const KEY_LENGTH_MAX: usize = 128;

/// What a key may be, for messages.
pub const KEY_ALLOWED: &str = "1 to 128 characters of A-Z, a-z, 0-9, '.', '_', '~' and '-'";

/// Returns whether a text may be the key of a job; such a text needs no escaping in a path.
pub fn is_client_key(text: &str) -> bool {
    let is_allowed = |c: u8| c.is_ascii_alphanumeric() || b"._~-".contains(&c);
    (1..=KEY_LENGTH_MAX).contains(&text.len()) && text.bytes().all(is_allowed)
}
