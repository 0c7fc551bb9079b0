//! When refused callers may submit their job again.

use std::time::Duration;

use crate::dispatch::JobName;

/// The minimum retry delay of refused callers: long enough for a burst to drain.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The range of the jitter that is added to `RETRY_AFTER`, so that refused callers do not all
/// return at once. It is derived from the name of the job.
const RETRY_AFTER_JITTER_S: u64 = 3;

/// Returns the retry delay of the callers of a job.
pub(super) fn retry_after(name: JobName) -> Duration {
    RETRY_AFTER + Duration::from_secs(name.0 % RETRY_AFTER_JITTER_S)
}
