//! Notices about cancelled jobs from other entries and from strangers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::dispatch::entry::{CancelAnswer, Entry, EntryAction, EntrySettings};
use knapweedrill::dispatch::message::Role;
use knapweedrill::dispatch::session::{Identity, SessionSettings, Sessions};
use knapweedrill::dispatch::{CancelOutcome, JobName, Notice, Packet};

const CALLER: u64 = 5;

/// The most names that one notice may carry.
const NAMES_PER_NOTICE_MAX: usize = 128;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns an entry that knows one other entry, from the store, at port 1.
fn entry(now: Instant) -> Entry {
    let identity = Identity {
        incarnation: 1,
        role: Role::Entry,
        started_at: now,
    };
    let sessions = Sessions::new(identity, SessionSettings::default());
    let mut entry = Entry::new(EntrySettings::default(), sessions);
    entry.add_peer(address(1), Some("vm-1".into()));
    entry
}

/// Returns the notices that an entry sends to the other one.
fn notices(entry: &mut Entry, now: Instant) -> Vec<Notice> {
    let sent = entry.poll(now).into_iter();
    let notices = sent.filter_map(|(to, packet)| match packet {
        Packet::Notice(notice) if to == address(1) => Some(notice),
        _ => None,
    });
    notices.collect()
}

/// Returns the number of the first cancel in the notice that an entry sends.
fn cancel_number(entry: &mut Entry, now: Instant) -> u64 {
    let mut sent = notices(entry, now).into_iter();
    let number = sent.find_map(|notice| match notice {
        Notice::Cancel { number, .. } => Some(number),
        _ => None,
    });
    number.expect("the entry tells the other one of the cancel")
}

fn acknowledge(entry: &mut Entry, from: u16, number: u64, count: usize, now: Instant) {
    let notice = Notice::CancelAcknowledgement {
        number,
        outcomes: vec![CancelOutcome::Unknown; count],
    };
    entry.receive(address(from), Packet::Notice(notice), now);
}

fn answer(answer: CancelAnswer) -> Vec<EntryAction> {
    vec![EntryAction::AnswerCancel {
        caller: CALLER,
        answer,
    }]
}

#[test]
fn cancel_of_an_unknown_job_is_answered_by_the_last_acknowledgement() {
    let now = Instant::now();
    let mut entry = entry(now);
    entry.cancel(CALLER, JobName(1), now);
    assert_eq!(entry.take_actions(), []);
    let number = cancel_number(&mut entry, now);
    acknowledge(&mut entry, 1, number, 1, now);
    assert_eq!(entry.take_actions(), answer(CancelAnswer::NoSuchJob));
}

/// An acknowledgement of a stranger, of other cancels, or of more than there are settles nothing.
#[test]
fn acknowledgements_that_fit_no_notice_are_ignored() {
    let now = Instant::now();
    let mut entry = entry(now);
    entry.cancel(CALLER, JobName(1), now);
    let number = cancel_number(&mut entry, now);
    acknowledge(&mut entry, 2, number, 1, now);
    acknowledge(&mut entry, 1, number.wrapping_sub(1), 1, now);
    acknowledge(&mut entry, 1, number.wrapping_add(1), 1, now);
    acknowledge(&mut entry, 1, number, 2, now);
    acknowledge(&mut entry, 1, number, 0, now);
    acknowledge(&mut entry, 1, u64::MAX, 1, now);
    assert_eq!(entry.take_actions(), []);
    let later = now + EntrySettings::default().cancel_answer_max;
    entry.tick(later);
    assert_eq!(entry.take_actions(), answer(CancelAnswer::Unconfirmed));
}

#[test]
fn notice_with_too_many_names_is_taken_in_part() {
    let now = Instant::now();
    let mut entry = entry(now);
    let notice = Notice::Cancel {
        number: 7,
        is_complete: false,
        names: (0..1_000).map(JobName).collect(),
    };
    entry.receive(address(1), Packet::Notice(notice), now);
    assert_eq!(entry.cancelled_name_count(), NAMES_PER_NOTICE_MAX);
    let expected = Notice::CancelAcknowledgement {
        number: 7,
        outcomes: vec![CancelOutcome::Unknown; NAMES_PER_NOTICE_MAX],
    };
    assert!(notices(&mut entry, now).contains(&expected));
}

/// An entry asks another one for its cancels until it is told all of them, or for a bounded time.
#[test]
fn requests_end_with_the_first_complete_notice() {
    let count_requests = |is_complete: Option<bool>| {
        let mut now = Instant::now();
        let mut entry = entry(now);
        let mut count = 0;
        for round in 0..1_000 {
            let sent = notices(&mut entry, now);
            let is_request = |notice: &&Notice| **notice == Notice::CancelsRequest;
            count += sent.iter().filter(is_request).count();
            if let Some(is_complete) = is_complete.filter(|_| round == 0) {
                let notice = Notice::Cancel {
                    number: 7,
                    is_complete,
                    names: vec![JobName(1)],
                };
                entry.receive(address(1), Packet::Notice(notice), now);
            }
            now += Duration::from_millis(10);
        }
        count
    };
    assert_eq!(count_requests(Some(true)), 1);
    assert_eq!(count_requests(Some(false)), 8);
    assert_eq!(count_requests(None), 8);
}
