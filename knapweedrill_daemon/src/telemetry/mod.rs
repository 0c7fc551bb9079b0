//! What the daemon tells about itself: log lines, metrics and the time line of events.

mod bounded_output;
mod counter;
mod gauge;
mod logs;
mod metrics;
mod reading;
mod statsd;
mod timeline;
mod timer;
mod traffic;

pub use bounded_output::BoundedOutput;
pub use counter::Counter;
pub use gauge::Gauge;
pub use logs::{LogFormat, LogLevel, init_logs, init_stdout_logs};
pub use metrics::Metrics;
pub use reading::{MetricsSnapshot, Reading};
pub use statsd::{StatsdFlusher, StatsdFlusherBuilder};
pub use timeline::Timeline;
pub use timer::Timer;
pub use traffic::{publish_sessions, publish_traffic};
