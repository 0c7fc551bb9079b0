//! Decisions of the memory budget for clients, without a network and on a clock that the tests advance.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use knapweedrill_daemon::dispatch::{
    BudgetLimits, CloseCause, ConnectionId, Decision, MemoryBudget, PortKind,
};
use test_case::test_case;

/// `MaxBodyBytes` of the platform.
const BODY_BYTES: u64 = 262_144;

/// The body of an ordinary request.
const SMALL_BODY_BYTES: u64 = 4_000;

const MEBIBYTE: u64 = 1 << 20;

/// The HTTP ports of an entry beside that for callers.
const OTHER_PORT_COUNT: u32 = 3;

const MILLISECOND: Duration = Duration::from_millis(1);

/// A budget and its clients. Connections that are told to close end at once.
struct World {
    budget: MemoryBudget,
    now: Instant,
    closed: Vec<(ConnectionId, CloseCause)>,
}

impl World {
    fn new(limits: BudgetLimits) -> Self {
        Self {
            budget: MemoryBudget::new(limits),
            now: Instant::now(),
            closed: Vec::new(),
        }
    }

    /// A small entry: 160 MB and 4,100 descriptors.
    fn small_entry() -> Self {
        Self::new(BudgetLimits::for_machine(Some(160 * MEBIBYTE), Some(4_100)))
    }

    fn with_limits(connection_count_max: usize, large_bytes_max: u64) -> Self {
        Self::new(BudgetLimits {
            connection_count_max,
            large_bytes_max,
            ..BudgetLimits::for_machine(None, None)
        })
    }

    fn advance(&mut self, duration: Duration) {
        self.now += duration;
    }

    /// Asks until the answer is not to wait, and ends connections that are to be closed meanwhile.
    fn decide(&mut self, ask: impl Fn(&mut MemoryBudget, Instant) -> Decision) -> Decision {
        loop {
            let decision = ask(&mut self.budget, self.now);
            let to_close = self.budget.take_to_close();
            assert!(
                decision != Decision::Wait || !to_close.is_empty(),
                "waits although nothing is about to be released"
            );
            for (id, cause) in to_close {
                self.budget.remove(id);
                self.closed.push((id, cause));
            }
            if decision != Decision::Wait {
                return decision;
            }
        }
    }

    fn connect(&mut self, address: u8) -> Option<ConnectionId> {
        match self.decide(MemoryBudget::admit_connection) {
            Decision::Granted => Some(self.budget.register(ip(address), self.now)),
            _ => None,
        }
    }

    /// Connects and sends a head.
    fn begin(&mut self, address: u8, body_bytes: u64) -> ConnectionId {
        let id = self.connect(address).expect("the connection is accepted");
        assert_eq!(self.budget.receive(id, 200, self.now), Decision::Granted);
        self.budget.end_head(id, body_bytes, self.now);
        id
    }

    /// Receives a part of a body, after which the connection holds `held_bytes`.
    fn receive(&mut self, id: ConnectionId, bytes: u64, held_bytes: u64) -> Decision {
        self.budget.receive(id, bytes, self.now);
        self.decide(|budget, now| budget.hold(id, held_bytes, now))
    }

    /// Returns whether a whole ordinary request of an address is carried out.
    fn serves_small(&mut self, address: u8) -> bool {
        let Some(id) = self.connect(address) else {
            return false;
        };
        self.budget.receive(id, 200, self.now);
        self.budget.end_head(id, SMALL_BODY_BYTES, self.now);
        let is_served = self.decide(|budget, now| budget.admit_body(id, SMALL_BODY_BYTES, now))
            == Decision::Granted
            && self.receive(id, SMALL_BODY_BYTES, SMALL_BODY_BYTES) == Decision::Granted
            && self.decide(|budget, now| budget.begin_answer(id, 600, now)) == Decision::Granted;
        self.budget.end_answer(id, 30, self.now);
        self.budget.remove(id);
        is_served
    }

    /// Returns whether a body of the largest size of an address is received.
    fn serves_large(&mut self, address: u8) -> bool {
        let id = self.begin(address, BODY_BYTES);
        let is_admitted = self.decide(|budget, now| budget.admit_body(id, BODY_BYTES, now));
        let mut is_served = is_admitted == Decision::Granted;
        for part in 1..=16 {
            self.advance(MILLISECOND);
            is_served = is_served
                && self.receive(id, BODY_BYTES / 16, BODY_BYTES / 16 * part) == Decision::Granted;
        }
        self.budget.remove(id);
        is_served
    }

    fn is_closed(&self, id: ConnectionId) -> bool {
        self.closed.iter().any(|(closed, _)| *closed == id)
    }
}

fn ip(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, last))
}

/// Guards against limits under which a machine of the platform runs out of memory or descriptors: with all
/// in use, also the connections that wait to be accepted, 40 MB are left of the smallest entry, also if each
/// receive buffer is full of large packets.
#[test_case(Some(160), Some(4_100), 40; "small entry")]
#[test_case(Some(512), Some(8_192), 40; "large entry")]
#[test_case(Some(128), Some(4_096), 30; "sidecar")]
#[test_case(None, None, 30; "no limits in the settings")]
fn limits_fit_the_machine(memory_mb: Option<u64>, descriptors: Option<u64>, left_mb: u64) {
    let limits = BudgetLimits::for_machine(memory_mb.map(|mb| mb * MEBIBYTE), descriptors);
    let connection_bytes = 28_672 + 2 * u64::from(limits.receive_buffer_bytes());
    let waiting_count = limits.backlog_count(PortKind::Traffic)
        + OTHER_PORT_COUNT * limits.backlog_count(PortKind::Other);
    let waiting_bytes = 2 * u64::from(limits.waiting_receive_buffer_bytes());
    let used_bytes = limits.large_bytes_max
        + connection_bytes * limits.connection_count_max as u64
        + waiting_bytes * u64::from(waiting_count);
    assert!(used_bytes + left_mb * MEBIBYTE <= memory_mb.unwrap_or(128) * MEBIBYTE);
    assert!(limits.connection_count_max as u64 + 300 <= descriptors.unwrap_or(4_096));
    assert!(limits.connection_count_max >= 400);
    assert!(limits.large_bytes_max >= 64 * BODY_BYTES);
    assert!(limits.backlog_count(PortKind::Traffic) >= 300);
}

/// Guards against a process with odd settings that serves nobody.
#[test_case(0, 0)]
#[test_case(1, 1)]
#[test_case(u64::MAX, u64::MAX)]
fn odd_limits_leave_something(memory_bytes: u64, descriptors: u64) {
    let limits = BudgetLimits::for_machine(Some(memory_bytes), Some(descriptors));
    assert!(limits.connection_count_max >= 16);
    assert!(limits.large_bytes_max >= MEBIBYTE);
    for port in [PortKind::Traffic, PortKind::Other] {
        assert!((16..=1_024).contains(&limits.backlog_count(port)));
    }
}

/// The load: 400 clients of one address send bodies of the largest size piece by piece to a small entry, nine
/// in ten stop just short of the end. Guards against memory beyond the limit, and ordinary requests that
/// are not served beside the crowd or after it has stalled.
#[test]
fn crowd_that_stops_short_leaves_room() {
    let mut world = World::small_entry();
    let limits = BudgetLimits::for_machine(Some(160 * MEBIBYTE), Some(4_100));
    let mut crowd: Vec<_> = (0..400).map(|_| world.begin(1, BODY_BYTES)).collect();
    for part in 1..=32_u64 {
        let mut left = Vec::new();
        for (number, id) in crowd.into_iter().enumerate() {
            if world.is_closed(id) {
                continue;
            }
            let piece_bytes = BODY_BYTES / 32;
            match world.receive(
                id,
                piece_bytes - 1,
                (piece_bytes * part).next_power_of_two(),
            ) {
                Decision::Granted if part == 32 && number % 10 == 0 => world.budget.remove(id),
                Decision::Granted => left.push(id),
                _ => world.budget.remove(id),
            }
            assert!(world.budget.usage().large_bytes <= limits.large_bytes_max);
        }
        crowd = left;
        world.advance(20 * MILLISECOND);
        assert!(world.serves_small(2), "after part {part}");
    }
    assert!(world.serves_large(2), "within the share of another address");
    world.advance(Duration::from_secs(1));
    assert!(world.serves_large(1), "after the crowd has stalled");
}

/// The load: 300 connections of one address that send chunks of one byte. Guards against a charge for the
/// payload only: what is charged is the buffer, whatever arrives in it.
#[test]
fn buffers_are_charged_and_not_payload() {
    let mut world = World::with_limits(1_000, MEBIBYTE);
    let crowd: Vec<_> = (0..300).map(|_| world.begin(1, BODY_BYTES)).collect();
    for id in crowd {
        world.receive(id, 6, 16_384);
    }
    assert_eq!(world.budget.usage().large_bytes, MEBIBYTE);
    assert!(world.budget.counts().refused_requests > 0);
    assert!(world.serves_small(1));
}

/// Guards against a limit below one request: alone, it is served.
#[test]
fn single_request_is_served_by_any_budget() {
    let mut world = World::with_limits(16, 100_000);
    assert!(world.serves_large(1));
}

/// Guards against closing a request that is about to end for the sake of one that is not.
#[test]
fn slowest_towards_its_end_is_closed_first() {
    let mut world = World::with_limits(16, 3 * BODY_BYTES);
    let stalled = world.begin(1, BODY_BYTES);
    world.receive(stalled, BODY_BYTES - 1, BODY_BYTES);
    let trickling = world.begin(1, BODY_BYTES);
    for _ in 0..20 {
        world.advance(100 * MILLISECOND);
        world.receive(trickling, 100, BODY_BYTES);
    }
    let fast = world.begin(1, BODY_BYTES);
    world.receive(fast, BODY_BYTES / 2, BODY_BYTES);
    world.advance(10 * MILLISECOND);
    assert!(world.serves_large(1));
    assert_eq!(world.closed, [(trickling, CloseCause::Memory)]);
    let other = world.begin(1, BODY_BYTES);
    world.receive(other, BODY_BYTES / 2, BODY_BYTES);
    assert!(world.serves_large(1));
    assert_eq!(world.closed[1..], [(stalled, CloseCause::Memory)]);
    assert!(!world.is_closed(fast) && !world.is_closed(other));
}

/// Guards against requests that close each other while all are fast: the later one is refused.
#[test]
fn fast_requests_of_an_address_are_not_closed_for_each_other() {
    let mut world = World::with_limits(16, 2 * BODY_BYTES);
    let first = world.begin(1, BODY_BYTES);
    world.receive(first, BODY_BYTES / 2, BODY_BYTES);
    let second = world.begin(1, BODY_BYTES);
    world.receive(second, BODY_BYTES / 2, BODY_BYTES);
    world.advance(10 * MILLISECOND);
    assert!(!world.serves_large(1));
    assert_eq!(world.closed, []);
}

/// Guards against an address that takes all memory while another one wants its share.
#[test]
fn address_beyond_its_share_yields_to_another() {
    let mut world = World::with_limits(100, 8 * BODY_BYTES);
    let crowd: Vec<_> = (0..8).map(|_| world.begin(1, BODY_BYTES)).collect();
    for id in &crowd {
        world.receive(*id, BODY_BYTES / 2, BODY_BYTES);
    }
    world.advance(MILLISECOND);
    for _ in 0..4 {
        let id = world.begin(2, BODY_BYTES);
        assert_eq!(
            world.receive(id, BODY_BYTES / 2, BODY_BYTES),
            Decision::Granted
        );
    }
    let id = world.begin(2, BODY_BYTES);
    let beyond = world.receive(id, BODY_BYTES / 2, BODY_BYTES);
    assert_eq!(
        beyond,
        Decision::Refused,
        "beyond the share of the second address"
    );
    assert_eq!(world.closed.len(), 4);
    assert!(world.closed.iter().all(|(id, _)| crowd.contains(id)));
}

/// Guards against a closed connection whose request is carried out all the same.
#[test]
fn request_of_a_connection_to_be_closed_is_refused() {
    let mut world = World::with_limits(16, BODY_BYTES);
    let victim = world.begin(1, BODY_BYTES);
    world.receive(victim, BODY_BYTES - 1, BODY_BYTES);
    world.advance(Duration::from_secs(1));
    let id = world.begin(1, BODY_BYTES);
    let now = world.now;
    assert_eq!(world.budget.hold(id, BODY_BYTES, now), Decision::Wait);
    // The last byte arrives before the connection has ended.
    world.budget.receive(victim, 1, now);
    let decision = world.budget.begin_answer(victim, 600, now);
    assert_eq!(decision, Decision::Refused);
}

/// Guards against a job whose caller is cut off although its request has been received.
#[test]
fn connections_that_wait_for_a_response_are_not_closed() {
    let mut world = World::with_limits(16, 2 * BODY_BYTES);
    for _ in 0..16 {
        let id = world.begin(1, SMALL_BODY_BYTES);
        let now = world.now;
        assert_eq!(
            world.budget.begin_answer(id, BODY_BYTES / 8, now),
            Decision::Granted
        );
    }
    world.advance(Duration::from_secs(10));
    world.budget.close_overdue(world.now);
    assert_eq!(world.connect(2), None);
    assert_eq!(world.budget.counts().refused_connections, 1);
    assert_eq!(world.closed, []);
}

/// Guards against accepting no more while clients hold all connections: unfinished requests are closed first,
/// then idle connections of the address with the most.
#[test]
fn unfinished_requests_and_then_idle_connections_make_room() {
    let mut world = World::with_limits(16, MEBIBYTE);
    let ordinary = world.connect(2).expect("the connection is accepted");
    world.advance(Duration::from_secs(1));
    let idle: Vec<_> = (0..14).filter_map(|_| world.connect(1)).collect();
    let unfinished = world.begin(1, BODY_BYTES);
    world.advance(Duration::from_secs(1));
    assert!(world.connect(3).is_some());
    assert!(world.connect(3).is_some());
    let connections = CloseCause::Connections;
    assert_eq!(
        world.closed,
        [(unfinished, connections), (idle[0], connections)]
    );
    assert!(!world.is_closed(ordinary));
}

/// Guards against a head that never ends, and against closing a connection that is only idle.
#[test]
fn head_that_does_not_end_is_closed() {
    let mut world = World::small_entry();
    let idle = world.connect(1).expect("the connection is accepted");
    let slow = world.connect(1).expect("the connection is accepted");
    world.budget.receive(slow, 1, world.now);
    for (elapsed_ms, expected) in [
        (3_000, vec![]),
        (2_000, vec![(slow, CloseCause::HeadTimeout)]),
    ] {
        world.advance(elapsed_ms * MILLISECOND);
        world.budget.receive(slow, 1, world.now);
        world.budget.close_overdue(world.now);
        assert_eq!(world.budget.take_to_close(), expected);
    }
    world.budget.close_overdue(world.now);
    assert_eq!(world.budget.take_to_close(), [], "it is told once");
    assert!(!world.is_closed(idle));
}

/// The failure: connections end in every state, also while they are being closed. Guards against a budget
/// that shrinks for good.
#[test]
fn ended_connections_release_all() {
    let mut world = World::with_limits(16, 2 * BODY_BYTES);
    for round in 0..50 {
        let ids: Vec<_> = (0..4).map(|_| world.begin(1, BODY_BYTES)).collect();
        for (number, id) in (0_u64..).zip(&ids) {
            let now = world.now;
            world.budget.receive(*id, 1_000 + number, now);
            world.budget.hold(*id, BODY_BYTES / 2 + 1_000 * number, now);
            if number == round % 4 {
                world.budget.begin_answer(*id, 20_000, now);
                world.budget.end_answer(*id, 30_000 * (round % 2), now);
            }
            world.advance(300 * MILLISECOND);
        }
        for id in ids {
            world.budget.remove(id);
            world.budget.remove(id);
        }
        let usage = world.budget.usage();
        assert_eq!((usage.connection_count, usage.large_bytes), (0, 0));
    }
    assert!(world.serves_large(1));
}
