//! The limits of a memory budget.

/// The memory that is assumed without `Limits.MemoryMb`: that of the smallest machine, a sidecar's.
const DEFAULT_MEMORY_BYTES: u64 = 128 << 20;

/// The descriptors that are assumed without `Limits.MaxFds`: those of the smallest machine.
const DEFAULT_DESCRIPTOR_COUNT: u64 = 4_096;

/// The descriptors that the platform reserves for files.
const FILE_DESCRIPTOR_COUNT: u64 = 200;

/// The descriptors that are left for the calls and the listeners of the process itself, which needs
/// some 30.
const OWN_DESCRIPTOR_COUNT: u64 = 100;

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
}

impl BudgetLimits {
    /// Returns the limits for a machine with this memory and this limit of descriptors, or for the
    /// smallest machine where these are not known.
    ///
    /// Three sixteenths of the memory are for large requests, and five for connections, whose number
    /// bounds what small requests and receive buffers use. The rest is for everything else, also for
    /// receive buffers on links with large packets, where they hold twice as much.
    pub fn for_machine(memory_bytes: Option<u64>, descriptor_count_max: Option<u64>) -> Self {
        let memory_bytes = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        let descriptors = descriptor_count_max.unwrap_or(DEFAULT_DESCRIPTOR_COUNT);
        let connection_bytes = CONNECTION_STATE_BYTES + u64::from(RECEIVE_BUFFER_BYTES);
        let by_memory = memory_bytes / 16 * 5 / connection_bytes;
        let by_descriptors =
            descriptors.saturating_sub(FILE_DESCRIPTOR_COUNT + OWN_DESCRIPTOR_COUNT);
        let connection_count = usize::try_from(by_memory.min(by_descriptors));
        Self {
            connection_count_max: connection_count
                .unwrap_or(usize::MAX)
                .max(CONNECTION_COUNT_MIN),
            large_bytes_max: (memory_bytes / 16 * 3).max(LARGE_BYTES_MIN),
        }
    }

    /// Returns the receive buffer to request for accepted sockets, in bytes.
    pub fn receive_buffer_bytes(&self) -> u32 {
        RECEIVE_BUFFER_BYTES
    }
}
