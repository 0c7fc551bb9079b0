//! The kinds of HTTP ports of a process.

/// What an HTTP port is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PortKind {
    /// The port that carries the traffic of the process: requests of callers, or heartbeats.
    Traffic,
    /// Another port: readiness probes, metrics.
    Other,
}
