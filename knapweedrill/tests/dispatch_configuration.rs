//! Versions of the configuration at an entry.

use std::time::{Duration, Instant};

use knapweedrill::dispatch::configuration::{Configuration, Queue, QueuePolicy};
use knapweedrill::dispatch::entry::{Entry, EntrySettings};
use knapweedrill::dispatch::message::Role;
use knapweedrill::dispatch::session::{Identity, SessionSettings, Sessions};
use proptest::prelude::*;

fn entry(now: Instant) -> Entry {
    let identity = Identity {
        incarnation: 1,
        role: Role::Entry,
        started_at: now,
    };
    let sessions = Sessions::new(identity, SessionSettings::default());
    Entry::new(EntrySettings::default(), sessions)
}

/// Returns a configuration whose only queue is named after its version.
fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        queues: vec![Queue {
            name: format!("queue-{version}"),
            host: format!("v{version}.example"),
            path_prefix: "/".into(),
            service: "service".into(),
            policy: QueuePolicy {
                priority: 0,
                attempt_count_max: 1,
                stretch_permille: 1_000,
                target_latency: Duration::ZERO,
            },
            has_advice: false,
        }],
        body_bytes_max: 1_000,
    }
}

proptest! {
    /// Configurations arrive late, repeatedly and out of order, from the store and from peers.
    #[test]
    fn version_in_force_never_decreases(
        versions in prop::collection::vec((1_u64..40, any::<bool>()), 1..60),
    ) {
        let now = Instant::now();
        let mut entry = entry(now);
        let mut newest = 0;
        for (index, (version, is_from_store)) in versions.into_iter().enumerate() {
            let source = if is_from_store { "store" } else { "peer" };
            let at = now + Duration::from_millis(index as u64);
            entry.configure(configuration(version), source, at);
            newest = newest.max(version);
            prop_assert_eq!(entry.version(), newest);
            let host = format!("v{newest}.example");
            prop_assert_eq!(entry.queue_length(&host, "/x"), Some(Some(0)));
            if version < newest {
                let older = format!("v{version}.example");
                prop_assert_eq!(entry.queue_length(&older, "/x"), Some(None));
            }
        }
    }
}

#[test]
fn queues_and_limits_are_unknown_without_a_configuration() {
    let entry = entry(Instant::now());
    assert_eq!(entry.queue_length("any.example", "/"), None);
    assert_eq!(entry.body_bytes_max(), None);
}
