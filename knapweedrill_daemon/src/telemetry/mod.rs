//! Observability of a process: log lines, metrics and the timeline of its events.

mod counter;
mod gauge;
mod logs;
mod metric_value;
mod metrics;
mod metrics_snapshot;
mod non_blocking_appender;
mod statsd;
mod timeline;
mod timer;
mod traffic;

pub use counter::Counter;
pub use gauge::Gauge;
pub use logs::{LogFormat, LogLevel, init_stderr_logs, init_stdout_logs};
pub use metric_value::MetricValue;
pub use metrics::Metrics;
pub use metrics_snapshot::MetricsSnapshot;
pub use non_blocking_appender::NonBlockingAppender;
pub use statsd::{StatsdFlusher, StatsdFlusherBuilder};
pub use timeline::Timeline;
pub use timer::Timer;
pub use traffic::{publish_sessions, publish_traffic};
