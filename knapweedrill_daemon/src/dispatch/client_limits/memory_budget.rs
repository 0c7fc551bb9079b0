//! Decides which requests may use memory, and which connections are closed when it is used up.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use super::budget_limits::BudgetLimits;
use super::progress::Progress;

/// The held bytes of a connection that are not charged, as its state includes them: ordinary requests
/// are served whatever large ones use.
const SMALL_BYTES: u64 = 8_192;

/// The maximum size of the head of a request, in bytes.
const HEAD_BYTES_MAX: u64 = 16_384;

/// How long a head may take from its first byte on. Callers are allowed 3 s (`HeaderTimeoutMs`).
const HEAD_TIMEOUT: Duration = Duration::from_secs(4);

/// The time to its end from which on a request is slow and may be closed for the sake of others. Bodies
/// of the largest size take less over the narrowest link.
const SLOW_TIME_MIN: Duration = Duration::from_millis(250);

/// The part of the limit of connections by which those that are being closed may exceed it. Connections
/// that wait to be accepted hold memory too, so they should not wait for each that is closed.
const CLOSING_SHARE: usize = 8;

/// A connection in a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// Whether memory or a connection is granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is granted.
    Granted,
    /// It will be free once connections that are being closed have ended; ask again then.
    Wait,
    /// It is not granted.
    Refused,
}

/// Why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseCause {
    /// Its head did not end in time.
    HeadTimeout,
    /// Its request holds memory that others need.
    Memory,
    /// Others need the connection.
    Connections,
}

/// How often a budget refused requests or closed connections, since its creation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetCounts {
    /// Requests refused for lack of memory.
    pub refused_requests: u64,
    /// Connections refused.
    pub refused_connections: u64,
    /// Connections closed because their head did not end.
    pub closed_for_head: u64,
    /// Connections closed because others needed their memory.
    pub closed_for_memory: u64,
    /// Connections closed because others needed a connection.
    pub closed_for_connections: u64,
}

/// What is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetUsage {
    /// The number of connections.
    pub connection_count: usize,
    /// The charged memory of large requests, in bytes.
    pub large_bytes: u64,
}

/// What a connection does.
#[derive(Debug, Clone, Copy)]
enum Phase {
    /// It has no request.
    Idle { since: Instant },
    /// The head of a request is being received.
    Head(Progress),
    /// The body of a request is being received.
    Body(Progress),
    /// The whole request has been received and is being carried out. Such a connection is not closed.
    Answering {
        /// Whether bytes of the next request have been received.
        has_next: bool,
    },
}

#[derive(Debug)]
struct Connection {
    address: IpAddr,
    phase: Phase,
    held_bytes: u64,
    is_closing: bool,
}

impl Connection {
    fn charged_bytes(&self) -> u64 {
        charged_bytes(self.held_bytes)
    }

    /// Returns how long the request still takes, or how long the connection has been idle; `None` if
    /// it must not be closed.
    fn time_left(&self, now: Instant) -> Option<Duration> {
        match self.phase {
            _ if self.is_closing => None,
            Phase::Idle { since } => Some(now.saturating_duration_since(since)),
            Phase::Head(progress) | Phase::Body(progress) => Some(progress.time_left(now)),
            Phase::Answering { .. } => None,
        }
    }

    fn is_unfinished(&self) -> bool {
        matches!(self.phase, Phase::Head(_) | Phase::Body(_))
    }
}

/// The memory and the connections that the clients of a process may use.
///
/// A connection is charged for the memory that it holds beyond that of a small request. When the memory
/// or the connections are used up, those that are slowest towards the end of their request are closed
/// first, of addresses beyond their share before others. Connections to be closed stay charged until
/// they have ended.
#[derive(Debug)]
pub struct MemoryBudget {
    limits: BudgetLimits,
    next_id: u64,
    connections: BTreeMap<ConnectionId, Connection>,
    large_bytes: u64,
    /// The part of `large_bytes` of connections that are being closed.
    closing_bytes: u64,
    closing_count: usize,
    to_close: Vec<(ConnectionId, CloseCause)>,
    counts: BudgetCounts,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            next_id: 0,
            connections: BTreeMap::new(),
            large_bytes: 0,
            closing_bytes: 0,
            closing_count: 0,
            to_close: Vec::new(),
            counts: BudgetCounts::default(),
        }
    }

    /// Decides whether one more connection may be registered. At the limit, another one is closed: the
    /// slowest of those with an unfinished request that are slow, or else an idle one, of the address
    /// with the most connections and the longest idle first.
    pub fn admit_connection(&mut self, now: Instant) -> Decision {
        let limit = self.limits.connection_count_max;
        if self.closing_count > limit / CLOSING_SHARE {
            return Decision::Wait;
        }
        if self.connections.len() - self.closing_count < limit {
            return Decision::Granted;
        }
        match self.connection_to_close(now) {
            Some(id) => {
                self.close(id, CloseCause::Connections);
                Decision::Granted
            }
            None => {
                self.counts.refused_connections += 1;
                Decision::Refused
            }
        }
    }

    /// Registers an idle connection.
    pub fn register(&mut self, address: IpAddr, now: Instant) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let connection = Connection {
            address,
            phase: Phase::Idle { since: now },
            held_bytes: 0,
            is_closing: false,
        };
        self.connections.insert(id, connection);
        id
    }

    /// Removes a connection that has ended, and releases its memory.
    pub fn remove(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.large_bytes -= connection.charged_bytes();
        if connection.is_closing {
            self.closing_bytes -= connection.charged_bytes();
            self.closing_count -= 1;
        }
    }

    /// Handles received bytes. Those of a head are held until it ends. A refused connection is to be
    /// closed at once.
    pub fn receive(&mut self, id: ConnectionId, bytes: u64, now: Instant) -> Decision {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Decision::Refused;
        };
        if let Phase::Idle { .. } = connection.phase {
            connection.phase = Phase::Head(Progress::begin(HEAD_BYTES_MAX, now));
        }
        match &mut connection.phase {
            Phase::Idle { .. } => Decision::Granted,
            Phase::Answering { has_next } => {
                *has_next = true;
                Decision::Granted
            }
            Phase::Body(progress) => {
                progress.receive(bytes, now);
                Decision::Granted
            }
            Phase::Head(progress) => {
                progress.receive(bytes, now);
                // The read buffer grows in steps, and is up to twice as large.
                let held_bytes = match progress.received_bytes() {
                    received if received <= SMALL_BYTES => 0,
                    received => 2 * received.min(HEAD_BYTES_MAX),
                };
                match self.hold(id, held_bytes, now) {
                    // The bytes are in memory already; what they need is about to be released.
                    Decision::Wait => {
                        self.set_held(id, held_bytes);
                        Decision::Granted
                    }
                    decision => decision,
                }
            }
        }
    }

    /// Handles the end of a head, whose memory is released. A body of at most `expected_bytes` may
    /// follow.
    pub fn end_head(&mut self, id: ConnectionId, expected_bytes: u64, now: Instant) {
        self.set_held(id, 0);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = Phase::Body(Progress::begin(expected_bytes, now));
        }
    }

    /// Decides whether a body of a declared length may be received. Nothing is charged yet.
    pub fn admit_body(&mut self, id: ConnectionId, bytes: u64, now: Instant) -> Decision {
        self.make_room(id, bytes, now)
    }

    /// Sets the memory that a connection holds to `held_bytes`, if that is granted.
    pub fn hold(&mut self, id: ConnectionId, held_bytes: u64, now: Instant) -> Decision {
        let decision = self.make_room(id, held_bytes, now);
        if decision == Decision::Granted {
            self.set_held(id, held_bytes);
        }
        decision
    }

    /// Handles the end of a request, which holds `held_bytes` from now on. If this is granted, the
    /// connection is not closed until the response; if not, the request must not be carried out.
    pub fn begin_answer(&mut self, id: ConnectionId, held_bytes: u64, now: Instant) -> Decision {
        let decision = self.hold(id, held_bytes, now);
        if decision == Decision::Granted
            && let Some(connection) = self.connections.get_mut(&id)
        {
            connection.phase = Phase::Answering { has_next: false };
        }
        decision
    }

    /// Handles a response, which holds `held_bytes` until the next request. If that is not granted, the
    /// response must be replaced by a small one.
    pub fn end_answer(&mut self, id: ConnectionId, held_bytes: u64, now: Instant) -> Decision {
        self.set_held(id, 0);
        let Some(connection) = self.connections.get_mut(&id) else {
            return Decision::Refused;
        };
        connection.phase = match connection.phase {
            Phase::Answering { has_next: true } => {
                Phase::Head(Progress::begin(HEAD_BYTES_MAX, now))
            }
            _ => Phase::Idle { since: now },
        };
        self.hold(id, held_bytes, now)
    }

    /// Closes the connections whose head has not ended in time.
    pub fn close_overdue(&mut self, now: Instant) {
        let is_overdue = |connection: &Connection| match connection.phase {
            Phase::Head(progress) => {
                now.saturating_duration_since(progress.began_at()) > HEAD_TIMEOUT
            }
            _ => false,
        };
        let overdue = self
            .connections
            .iter()
            .filter(|(_, connection)| !connection.is_closing && is_overdue(connection));
        let overdue: Vec<ConnectionId> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            self.close(id, CloseCause::HeadTimeout);
        }
    }

    /// Returns the connections that are to be closed, each once.
    pub fn take_to_close(&mut self) -> Vec<(ConnectionId, CloseCause)> {
        std::mem::take(&mut self.to_close)
    }

    /// Returns what is in use.
    pub fn usage(&self) -> BudgetUsage {
        BudgetUsage {
            connection_count: self.connections.len(),
            large_bytes: self.large_bytes,
        }
    }

    /// Returns how often something was refused or closed.
    pub fn counts(&self) -> BudgetCounts {
        self.counts
    }

    /// Decides whether a connection may hold `held_bytes`, and closes others if that helps.
    fn make_room(&mut self, id: ConnectionId, held_bytes: u64, now: Instant) -> Decision {
        let Some(connection) = self.connections.get(&id) else {
            return Decision::Refused;
        };
        if connection.is_closing {
            return Decision::Refused;
        }
        let own_bytes = connection.charged_bytes();
        let wanted_bytes = charged_bytes(held_bytes);
        let others_bytes = self.large_bytes - own_bytes;
        let total_bytes = others_bytes + wanted_bytes;
        // A request of legal size alone is served even by a budget that is smaller.
        if wanted_bytes <= own_bytes || others_bytes == 0 {
            return Decision::Granted;
        }
        let lacking_bytes = total_bytes.saturating_sub(self.limits.large_bytes_max);
        if lacking_bytes == 0 {
            return Decision::Granted;
        }
        if self.closing_bytes >= lacking_bytes {
            return Decision::Wait;
        }
        let lacking_bytes = lacking_bytes - self.closing_bytes;
        match self.connections_to_close(id, wanted_bytes, lacking_bytes, now) {
            Some(victims) => {
                for victim in victims {
                    self.close(victim, CloseCause::Memory);
                }
                Decision::Wait
            }
            None => {
                self.counts.refused_requests += 1;
                Decision::Refused
            }
        }
    }

    /// Returns the connections to close so that `lacking_bytes` are released for a connection, or `None`
    /// if it is not entitled to that.
    ///
    /// Connections that are slow, and slower than it, are closed for it. An address beyond its share
    /// loses connections down to that also if they are fast, to an address within its share.
    fn connections_to_close(
        &self,
        id: ConnectionId,
        wanted_bytes: u64,
        lacking_bytes: u64,
        now: Instant,
    ) -> Option<Vec<ConnectionId>> {
        let own = self.connections.get(&id)?;
        let own_time = own.time_left(now)?;
        let mut bytes_by_address: BTreeMap<IpAddr, u64> = BTreeMap::new();
        for connection in self.connections.values().filter(|each| !each.is_closing) {
            if connection.charged_bytes() > 0 {
                *bytes_by_address.entry(connection.address).or_default() +=
                    connection.charged_bytes();
            }
        }
        let own_address_bytes = bytes_by_address.entry(own.address).or_default();
        *own_address_bytes += wanted_bytes - own.charged_bytes();
        let own_address_bytes = *own_address_bytes;
        let share_bytes = self.limits.large_bytes_max / bytes_by_address.len() as u64;
        let is_within_share = own_address_bytes <= share_bytes;
        let mut candidates: Vec<_> = self
            .connections
            .iter()
            .filter(|(other, connection)| **other != id && connection.charged_bytes() > 0)
            .filter_map(|(other, connection)| {
                Some((*other, connection, connection.time_left(now)?))
            })
            .collect();
        candidates.sort_by_key(|(other, connection, time)| {
            let is_over = bytes_by_address[&connection.address] > share_bytes;
            (Reverse(is_over), Reverse(*time), *other)
        });
        let mut victims = Vec::new();
        let mut released_bytes = 0;
        for (other, connection, time) in candidates {
            if released_bytes >= lacking_bytes {
                break;
            }
            let address_bytes = bytes_by_address.get_mut(&connection.address)?;
            let is_over = *address_bytes > share_bytes;
            let is_slower = time >= SLOW_TIME_MIN && time > own_time;
            if is_slower || is_within_share && is_over {
                *address_bytes -= connection.charged_bytes().min(*address_bytes);
                released_bytes += connection.charged_bytes();
                victims.push(other);
            }
        }
        (released_bytes >= lacking_bytes).then_some(victims)
    }

    /// Returns the connection to close for the sake of a new one.
    fn connection_to_close(&self, now: Instant) -> Option<ConnectionId> {
        let mut count_by_address: BTreeMap<IpAddr, usize> = BTreeMap::new();
        for connection in self.connections.values() {
            *count_by_address.entry(connection.address).or_default() += 1;
        }
        let candidates = self.connections.iter().filter_map(|(id, connection)| {
            let time = connection.time_left(now)?;
            let is_slow = connection.is_unfinished() && time >= SLOW_TIME_MIN;
            let is_closable = is_slow || !connection.is_unfinished();
            let count = count_by_address[&connection.address];
            is_closable.then_some(((is_slow, count, time), Reverse(*id)))
        });
        candidates.max().map(|(_, Reverse(id))| id)
    }

    fn close(&mut self, id: ConnectionId, cause: CloseCause) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.is_closing = true;
        self.closing_count += 1;
        self.closing_bytes += connection.charged_bytes();
        self.to_close.push((id, cause));
        match cause {
            CloseCause::HeadTimeout => self.counts.closed_for_head += 1,
            CloseCause::Memory => self.counts.closed_for_memory += 1,
            CloseCause::Connections => self.counts.closed_for_connections += 1,
        }
    }

    fn set_held(&mut self, id: ConnectionId, held_bytes: u64) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let before = connection.charged_bytes();
        connection.held_bytes = held_bytes;
        let after = connection.charged_bytes();
        self.large_bytes = self.large_bytes - before + after;
        if connection.is_closing {
            self.closing_bytes = self.closing_bytes - before + after;
        }
    }
}

/// Returns what is charged for held memory.
fn charged_bytes(held_bytes: u64) -> u64 {
    match held_bytes {
        0..=SMALL_BYTES => 0,
        large => large,
    }
}
