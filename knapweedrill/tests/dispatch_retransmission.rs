//! What a session sends again on links with a long way, and on links that lose datagrams.

mod session_pair;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use knapweedrill::dispatch::message::Message;
use knapweedrill::dispatch::session::{Envelope, SessionEvent, Sessions};
use session_pair::{
    ENTRY, SIDECAR, SIDECAR_INCARNATION, address, sessions_of_both_sides, stop_order,
};

const STEP: Duration = Duration::from_millis(1);

/// The sessions of an entry and a sidecar, on a link that delays what the entry sends.
struct Link {
    now: Instant,
    sides: [Sessions; 2],
    delay: Duration,
    in_flight: VecDeque<(Instant, Envelope)>,
    /// How many datagrams with messages are lost next.
    lost_count: usize,
    queued_count: u64,
    /// Messages in the datagrams of the entry, with repeats.
    sent_count: usize,
    received: Vec<u64>,
}

impl Link {
    fn new() -> Self {
        let now = Instant::now();
        let mut link = Self {
            now,
            sides: sessions_of_both_sides(now),
            delay: Duration::ZERO,
            in_flight: VecDeque::new(),
            lost_count: 0,
            queued_count: 0,
            sent_count: 0,
            received: Vec::new(),
        };
        link.run(Duration::from_secs(1));
        link
    }

    fn send(&mut self, count: u64) {
        for _ in 0..count {
            self.queued_count += 1;
            let message = stop_order(self.queued_count);
            self.sides[ENTRY].send(SIDECAR_INCARNATION, message, self.now);
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            let (datagrams, _) = self.sides[ENTRY].poll(self.now);
            for (_, envelope) in datagrams {
                self.sent_count += envelope.messages.len();
                if self.lost_count > 0 && !envelope.messages.is_empty() {
                    self.lost_count -= 1;
                } else {
                    self.in_flight.push_back((self.now + self.delay, envelope));
                }
            }
            while let Some((_, envelope)) = self.in_flight.pop_front_if(|(at, _)| *at <= self.now) {
                let events = self.sides[SIDECAR].receive(address(ENTRY), envelope, self.now);
                for event in events {
                    if let SessionEvent::Message(_, Message::Stop { attempt, .. }) = event {
                        self.received.push(attempt);
                    }
                }
            }
            let (datagrams, _) = self.sides[SIDECAR].poll(self.now);
            for (_, envelope) in datagrams {
                self.sides[ENTRY].receive(address(SIDECAR), envelope, self.now);
            }
        }
    }

    /// Asserts that all messages have arrived, once and in order.
    fn assert_all_received(&self) {
        let expected: Vec<u64> = (1..=self.queued_count).collect();
        assert_eq!(self.received, expected);
    }
}

/// Guards against retransmission after a fixed time: on a link on which datagrams wait for longer,
/// each message is sent many times, and the repeats lengthen the wait.
#[test]
fn long_way_causes_few_repeats() {
    let mut link = Link::new();
    link.delay = Duration::from_millis(300);
    link.sent_count = 0;
    for _ in 0..100 {
        link.send(2);
        link.run(Duration::from_millis(50));
    }
    link.run(Duration::from_secs(2));
    link.assert_all_received();
    let sent_max = link.queued_count as usize * 13 / 10;
    assert!(
        link.sent_count <= sent_max,
        "{} messages were sent {} times",
        link.queued_count,
        link.sent_count
    );
}

/// Guards against retransmission of all that was sent after a loss of one datagram.
#[test]
fn messages_that_have_arrived_are_not_sent_again_after_a_loss() {
    let mut link = Link::new();
    link.sent_count = 0;
    link.lost_count = 1;
    link.send(100);
    link.run(Duration::from_secs(1));
    link.assert_all_received();
    assert!(
        link.sent_count <= 112,
        "100 messages were sent {} times",
        link.sent_count
    );
}

/// Guards against one retransmission timeout for each of several lost datagrams.
#[test]
fn several_losses_are_mended_within_few_round_trips() {
    let mut link = Link::new();
    link.lost_count = 5;
    link.send(100);
    link.run(Duration::from_millis(250));
    link.assert_all_received();
}

/// Guards against a stop order that is lost after one slow round trip and repeated so late that the
/// sidecar counts its entry as silent meanwhile.
#[test]
fn lost_message_is_repeated_soon_after_a_slow_round_trip() {
    let mut link = Link::new();
    link.send(1);
    link.run(Duration::from_millis(100));
    link.delay = Duration::from_millis(700);
    link.send(1);
    link.run(Duration::from_secs(2));
    link.delay = Duration::ZERO;
    link.lost_count = 1;
    link.send(1);
    link.run(Duration::from_millis(330));
    link.assert_all_received();
}
