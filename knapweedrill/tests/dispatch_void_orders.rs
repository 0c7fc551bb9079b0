//! Start orders that their sidecar would refuse as stale are not sent again.

mod session_pair;

use std::time::{Duration, Instant};

use knapweedrill::dispatch::message::{
    Message, PlacementOutcome, RefusalCause, StartOrder, TaskReport,
};
use knapweedrill::dispatch::session::{Envelope, SentKind, SessionEvent, Sessions};
use knapweedrill::dispatch::sidecar::{Sidecar, SidecarAction, SidecarSettings};
use knapweedrill::dispatch::{Resources, RunTiming};
use session_pair::{
    ENTRY, SIDECAR, SIDECAR_INCARNATION, TASK, address, sessions_of_both_sides, stop_order,
};

const STEP: Duration = Duration::from_millis(5);

fn is_start(message: &Message) -> bool {
    matches!(message, Message::Start(_))
}

/// The sessions of an entry and a sidecar.
struct Pair {
    now: Instant,
    sides: [Sessions; 2],
    /// Messages that arrived at the sidecar.
    received: Vec<Message>,
    /// When start orders were sent.
    starts_sent_at: Vec<Instant>,
}

impl Pair {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            sides: sessions_of_both_sides(now),
            received: Vec::new(),
            starts_sent_at: Vec::new(),
        }
    }

    fn start(&mut self, attempt: u64) {
        let (stamp_ms, _) = self.sides[ENTRY]
            .newest_stamp(SIDECAR_INCARNATION)
            .expect("the session is established");
        let order = StartOrder {
            task: TASK,
            attempt,
            resources: Resources::default(),
            estimate: Duration::from_millis(100),
            is_movable: true,
            queue: 1,
            is_trial: false,
            service: "service".into(),
            required_label: None,
            spec: "what to run".into(),
            sidecar_stamp_ms: stamp_ms,
            run_number: 1,
        };
        self.send(Message::Start(order));
    }

    fn send(&mut self, message: Message) {
        self.sides[ENTRY].send(SIDECAR_INCARNATION, message, self.now);
    }

    /// Advances the time. Datagrams for which `is_lost` holds do not arrive.
    fn run(&mut self, duration: Duration, is_lost: impl Fn(&Envelope) -> bool) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            for side in [ENTRY, SIDECAR] {
                let (datagrams, _) = self.sides[side].poll(self.now);
                for (_, envelope) in datagrams {
                    if envelope.messages.iter().any(is_start) {
                        self.starts_sent_at.push(self.now);
                    }
                    if !is_lost(&envelope) {
                        self.deliver(side, envelope);
                    }
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, envelope: Envelope) {
        let events = self.sides[1 - from].receive(address(from), envelope, self.now);
        for event in events {
            if let SessionEvent::Message(_, message) = event {
                self.received.push(message);
            }
        }
    }
}

/// Guards against start orders that are repeated although their sidecar will refuse them: on a
/// narrow link they delay the orders that are still wanted until those are void as well.
#[test]
fn stale_start_orders_are_not_sent_again() {
    let mut pair = Pair::new();
    pair.run(Duration::from_secs(1), |_| false);
    let queued_at = pair.now;
    pair.start(1);
    pair.run(Duration::from_secs(2), |envelope| {
        !envelope.messages.is_empty()
    });
    let void_at = queued_at + RunTiming::default().entry_silence_timeout();
    let late = pair.starts_sent_at.iter().filter(|at| **at > void_at);
    assert_eq!(late.count(), 0, "start orders sent after they were void");
}

/// Guards against start orders that are repeated although the stop order behind them is pending.
#[test]
fn stopped_start_orders_are_not_sent_again() {
    let mut pair = Pair::new();
    pair.run(Duration::from_secs(1), |_| false);
    pair.start(1);
    pair.run(STEP, |_| true);
    let stopped_at = pair.now;
    pair.send(stop_order(1));
    pair.run(Duration::from_millis(300), |_| true);
    let late = pair.starts_sent_at.iter().filter(|at| **at > stopped_at);
    assert_eq!(late.count(), 0, "start orders sent after their stop order");
}

/// Guards against a gap in the numbers of a session, or a stop order that arrives before the order
/// that it stops: a withdrawal takes the place of the order.
#[test]
fn withdrawal_arrives_in_place_of_a_void_order() {
    let mut pair = Pair::new();
    pair.run(Duration::from_secs(1), |_| false);
    pair.start(1);
    pair.run(Duration::from_secs(1), |envelope| {
        !envelope.messages.is_empty()
    });
    pair.start(2);
    pair.send(stop_order(1));
    pair.run(Duration::from_secs(1), |_| false);
    let withdrawn = Message::Withdrawn {
        task: TASK,
        attempt: 1,
    };
    assert_eq!(pair.received.first(), Some(&withdrawn));
    assert!(pair.received.get(1).is_some_and(is_start));
    assert_eq!(pair.received.len(), 3);
}

/// Guards against repeats that nobody sees: they are counted apart from first transmissions.
#[test]
fn repeated_starts_are_counted_apart() {
    let mut pair = Pair::new();
    pair.run(Duration::from_secs(1), |_| false);
    pair.start(1);
    pair.run(Duration::from_millis(300), |envelope| {
        !envelope.messages.is_empty()
    });
    let sent = pair.sides[ENTRY].sent_messages();
    let starts = sent.count(SentKind::Start);
    let repeats = sent.count(SentKind::RepeatedStart);
    assert_eq!(starts.messages, 1);
    assert_eq!(repeats.messages, pair.starts_sent_at.len() as u64 - 1);
    assert_eq!(repeats.bytes, starts.bytes * repeats.messages);
    assert!(starts.bytes > "what to run".len() as u64);
    assert_eq!(pair.sides[ENTRY].queued_message_count(), 1);
}

/// Guards against a task whose order was withdrawn, and which nobody places again.
#[test]
fn sidecar_answers_a_withdrawal_as_a_stale_order() {
    let mut sidecar = Sidecar::new(SidecarSettings::default(), 1);
    sidecar.refuse_withdrawn(11, TASK, 1);
    let report = TaskReport {
        task: TASK,
        attempt: 1,
        outcome: PlacementOutcome::Refused(RefusalCause::Stale),
    };
    let expected = SidecarAction::Send(11, Message::Report(report));
    assert_eq!(sidecar.take_actions(), [expected]);
}
