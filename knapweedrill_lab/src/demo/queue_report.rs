//! The outcomes of the jobs of a queue.

use serde::{Deserialize, Serialize};

/// The outcomes and response times of the jobs of a queue.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QueueReport {
    /// The name of the queue.
    pub queue: String,
    /// The number of jobs that were submitted.
    pub asked_count: usize,
    /// The number of jobs that completed.
    pub completed_count: usize,
    /// The number of jobs that were refused before any of their tasks ran.
    pub refused_count: usize,
    /// The number of jobs that did not complete and may have run.
    pub failed_count: usize,
    /// The median response time of completed jobs, in milliseconds.
    pub median_ms: u64,
    /// The 99th percentile of the response time of completed jobs, in milliseconds.
    pub p99_ms: u64,
}
