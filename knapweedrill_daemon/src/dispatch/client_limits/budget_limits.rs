//! The limits of a memory budget.

use super::port_kind::PortKind;

/// The memory that is assumed without `Limits.MemoryMb`: that of the smallest machine, a sidecar's.
const DEFAULT_MEMORY_BYTES: u64 = 128 << 20;

/// The descriptors that are assumed without `Limits.MaxFds`: those of the smallest machine.
const DEFAULT_DESCRIPTOR_COUNT: u64 = 4_096;

/// The descriptors that the platform reserves for files.
const FILE_DESCRIPTOR_COUNT: u64 = 200;

/// The descriptors that are left for the calls and the listeners of the process itself, which needs
/// some 30.
const OWN_DESCRIPTOR_COUNT: u64 = 100;

/// The receive buffer that is requested for connections that wait to be accepted, in bytes: an ordinary
/// request fits. The limits on connections and requests hold for accepted connections only.
const WAITING_RECEIVE_BUFFER_BYTES: u32 = 4_096;

/// The part of the memory that connections that wait to be accepted may hold. Linux holds up to twice the
/// receive buffer.
const WAITING_SHARE: u64 = 32;

/// The part of these connections for the port that carries the traffic of the process; its other ports
/// divide the rest.
const TRAFFIC_PORT_EIGHTHS: u64 = 6;

/// The most other ports that a process has: readiness, registration at an entry, and metrics.
const OTHER_PORT_COUNT: u64 = 3;

/// The most connections that wait at one port.
const WAITING_COUNT_MAX: u64 = 1_024;

/// The fewest connections that wait at one port, so that a process with odd settings still serves.
const WAITING_COUNT_MIN: u64 = 16;

/// The receive buffer that is requested for accepted sockets, in bytes. The end of a connection is only
/// noticed once it fits behind what is not read: with 16 KiB, a caller that left behind a request of
/// 60 KB was not noticed. Linux starts with as much by default, and would raise it to megabytes.
const RECEIVE_BUFFER_BYTES: u32 = 65_536;

/// The memory of a connection in this process without what is charged: the read buffer, the state of the
/// HTTP library and a small request.
const CONNECTION_STATE_BYTES: u64 = 28_672;

/// The fewest connections, so that a process with odd settings still serves.
const CONNECTION_COUNT_MIN: usize = 16;

/// The least memory for large requests: some of the default of `MaxBodyBytes`.
const LARGE_BYTES_MIN: u64 = 1 << 20;

/// The limits of a [`MemoryBudget`](super::MemoryBudget).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// The maximum number of connections.
    pub connection_count_max: usize,
    /// The maximum memory of what exceeds small requests, of all connections, in bytes.
    pub large_bytes_max: u64,
    /// The maximum number of connections that wait to be accepted at the port that carries the traffic of
    /// the process.
    pub traffic_backlog_count: u32,
    /// The maximum number of connections that wait to be accepted at each other port.
    pub other_backlog_count: u32,
}

impl BudgetLimits {
    /// Returns the limits for a machine with this memory and this limit of descriptors, or for the
    /// smallest machine where these are not known.
    ///
    /// Three sixteenths of the memory are for large requests, and five for connections, whose number
    /// bounds what small requests and receive buffers use. A 32nd is for connections that wait to be
    /// accepted. The rest is for everything else, also for receive buffers on links with large packets,
    /// where they hold twice as much.
    pub fn for_machine(memory_bytes: Option<u64>, descriptor_count_max: Option<u64>) -> Self {
        let memory_bytes = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        let descriptors = descriptor_count_max.unwrap_or(DEFAULT_DESCRIPTOR_COUNT);
        let connection_bytes = CONNECTION_STATE_BYTES + u64::from(RECEIVE_BUFFER_BYTES);
        let by_memory = memory_bytes / 16 * 5 / connection_bytes;
        let by_descriptors =
            descriptors.saturating_sub(FILE_DESCRIPTOR_COUNT + OWN_DESCRIPTOR_COUNT);
        let connection_count = usize::try_from(by_memory.min(by_descriptors));
        let waiting_bytes = 2 * u64::from(WAITING_RECEIVE_BUFFER_BYTES);
        let waiting_count = memory_bytes / WAITING_SHARE / waiting_bytes;
        let traffic_count = waiting_count / 8 * TRAFFIC_PORT_EIGHTHS;
        let other_count = waiting_count / 8 * (8 - TRAFFIC_PORT_EIGHTHS) / OTHER_PORT_COUNT;
        Self {
            connection_count_max: connection_count
                .unwrap_or(usize::MAX)
                .max(CONNECTION_COUNT_MIN),
            large_bytes_max: (memory_bytes / 16 * 3).max(LARGE_BYTES_MIN),
            traffic_backlog_count: backlog_count(traffic_count),
            other_backlog_count: backlog_count(other_count),
        }
    }

    /// Returns the number of connections that may wait to be accepted at a port.
    pub fn backlog_count(&self, port: PortKind) -> u32 {
        match port {
            PortKind::Traffic => self.traffic_backlog_count,
            PortKind::Other => self.other_backlog_count,
        }
    }

    /// Returns the receive buffer to request for connections that wait to be accepted, in bytes.
    pub fn waiting_receive_buffer_bytes(&self) -> u32 {
        WAITING_RECEIVE_BUFFER_BYTES
    }

    /// Returns the receive buffer to request for accepted sockets, in bytes.
    pub fn receive_buffer_bytes(&self) -> u32 {
        RECEIVE_BUFFER_BYTES
    }
}

fn backlog_count(count: u64) -> u32 {
    let count = count.clamp(WAITING_COUNT_MIN, WAITING_COUNT_MAX);
    u32::try_from(count).unwrap_or(u32::MAX)
}
