//! Sessions deliver each message exactly once and in order when datagrams are lost, duplicated or
//! reordered.

mod session_pair;

use std::time::{Duration, Instant};

use knapweedrill::dispatch::message::{Message, Role};
use knapweedrill::dispatch::session::{
    Envelope, Identity, SessionEvent, SessionSettings, Sessions,
};
use proptest::prelude::*;
use session_pair::{address, sessions_of_both_sides, stop_order};

const STEP: Duration = Duration::from_millis(5);

struct Pair {
    now: Instant,
    sides: [Sessions; 2],
    in_flight: Vec<(usize, Envelope)>,
    received: Vec<u64>,
    events: Vec<(usize, SessionEvent)>,
}

impl Pair {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            sides: sessions_of_both_sides(now),
            in_flight: Vec::new(),
            received: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Queues a message of the entry.
    fn send(&mut self, message: Message) {
        self.sides[0].send(22, message, self.now);
    }

    /// Advances the time by one step. Datagrams for which `is_lost` holds do not arrive.
    fn step_with_loss(&mut self, is_lost: impl Fn(&Envelope) -> bool) {
        self.step_with(|envelope| usize::from(!is_lost(envelope)));
    }

    /// Advances the time by one step. `copy_count` returns how often each datagram arrives.
    fn step(&mut self, mut copy_count: impl FnMut() -> usize) {
        self.step_with(|_| copy_count());
    }

    /// Advances the time by one step. `copy_count` returns how often a datagram arrives.
    fn step_with(&mut self, mut copy_count: impl FnMut(&Envelope) -> usize) {
        self.now += STEP;
        for side in 0..2 {
            let (datagrams, events) = self.sides[side].poll(self.now);
            self.events
                .extend(events.into_iter().map(|event| (side, event)));
            for (_, envelope) in datagrams {
                for _ in 0..copy_count(&envelope) {
                    self.in_flight.push((1 - side, envelope.clone()));
                }
            }
        }
        // Delivers the newest datagram first, so that datagrams are reordered.
        while let Some((side, envelope)) = self.in_flight.pop() {
            let events = self.sides[side].receive(address(1 - side), envelope, self.now);
            for event in events {
                if let (1, SessionEvent::Message(_, Message::Stop { attempt, .. })) = (side, &event)
                {
                    self.received.push(*attempt);
                }
                self.events.push((side, event));
            }
        }
    }

    /// Runs 400 steps without faults, enough for all retransmissions to finish.
    fn settle(&mut self) {
        for _ in 0..400 {
            self.step(|| 1);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn messages_arrive_exactly_once_and_in_order(
        copy_counts in prop::collection::vec(0_usize..3, 50..400),
        sends in prop::collection::vec(0_u64..4, 20..60),
    ) {
        let mut pair = Pair::new();
        pair.settle();
        let mut copy_counts = copy_counts.into_iter().cycle();
        let mut next = 0;
        for count in sends {
            for _ in 0..count {
                pair.send(stop_order(next));
                next += 1;
            }
            pair.step(|| copy_counts.next().unwrap_or(1));
        }
        pair.settle();
        let expected: Vec<u64> = (0..next).collect();
        prop_assert_eq!(&pair.received, &expected);
    }
}

#[test]
fn new_incarnation_ends_the_session_and_late_datagrams_of_the_old_one_are_ignored() {
    let mut pair = Pair::new();
    pair.settle();
    pair.send(stop_order(1));
    let (late, _) = pair.sides[0].poll(pair.now);
    let restarted = Identity {
        incarnation: 33,
        role: Role::Entry,
        started_at: pair.now,
    };
    pair.sides[0] = Sessions::new(restarted, SessionSettings::default());
    pair.sides[0].open(address(1), pair.now);
    pair.settle();
    assert!(pair.events.contains(&(1, SessionEvent::Disconnected(11))));
    assert!(
        pair.events
            .contains(&(1, SessionEvent::Connected(33, Role::Entry)))
    );
    for (_, envelope) in late {
        let events = pair.sides[1].receive(address(0), envelope, pair.now);
        assert!(events.is_empty(), "{events:?}");
    }
    pair.send(stop_order(2));
    pair.settle();
    assert_eq!(pair.received, [2]);
}

#[test]
fn silence_and_its_end_are_reported() {
    let mut pair = Pair::new();
    pair.settle();
    pair.events.clear();
    for _ in 0..400 {
        pair.step(|| 0);
    }
    assert!(pair.events.contains(&(0, SessionEvent::Silent(22))));
    pair.send(stop_order(1));
    pair.settle();
    assert!(pair.events.contains(&(0, SessionEvent::Resumed(22))));
    assert_eq!(pair.received, [1]);
}

#[test]
fn idle_session_is_not_reported_silent_when_a_message_is_sent() {
    let mut pair = Pair::new();
    pair.settle();
    pair.events.clear();
    for number in 0..200 {
        if number % 47 == 0 {
            pair.send(stop_order(number));
        }
        pair.step(|| 1);
    }
    assert!(
        !pair
            .events
            .iter()
            .any(|(_, event)| matches!(event, SessionEvent::Silent(_)))
    );
}

#[test]
fn echoed_stamp_is_not_later_than_the_last_contact() {
    let mut pair = Pair::new();
    pair.settle();
    let before_silence = pair.now;
    for _ in 0..100 {
        pair.step(|| 0);
    }
    let echoed_at = pair.sides[1]
        .echoed_at(11, pair.now)
        .expect("stamps were echoed");
    assert!(echoed_at <= before_silence);
}

/// Guards against heartbeats that keep the runs of an entry going while its stop order is lost.
#[test]
fn echo_does_not_advance_while_a_stop_order_is_pending() {
    let mut pair = Pair::new();
    pair.settle();
    let before_stop = pair.now;
    pair.sides[0].set_busy(22, true, before_stop);
    pair.send(stop_order(1));
    // Datagrams with messages are lost, heartbeats arrive.
    for _ in 0..200 {
        pair.step_with_loss(|envelope| !envelope.messages.is_empty());
    }
    let echoed_at = |pair: &Pair| {
        let echoed_at = pair.sides[1].echoed_at(11, pair.now);
        echoed_at.expect("stamps were echoed")
    };
    assert!(echoed_at(&pair) <= before_stop);
    pair.settle();
    assert_eq!(pair.received, [1]);
    assert!(pair.now.duration_since(echoed_at(&pair)) < Duration::from_millis(2_000));
}

/// Guards against a stop order that vouches for stamps which arrived while callers may have left
/// unnoticed.
#[test]
fn echo_with_a_pending_stop_order_stays_within_the_limit_in_force_when_it_was_queued() {
    let mut pair = Pair::new();
    pair.settle();
    let known_at = pair.now;
    pair.sides[0].set_busy(22, true, known_at);
    pair.sides[0].set_stamp_limit(known_at);
    for _ in 0..60 {
        pair.step(|| 1);
    }
    pair.send(stop_order(1));
    pair.sides[0].set_stamp_limit(pair.now);
    for _ in 0..100 {
        pair.step_with_loss(|envelope| !envelope.messages.is_empty());
    }
    let echoed_at = pair.sides[1].echoed_at(11, pair.now);
    assert!(echoed_at.expect("stamps were echoed") <= known_at);
}
