//! Counts of what went over the wire.

use std::sync::atomic::{AtomicU64, Ordering};

use knapweedrill::message::MessageKind;

/// A count that several threads raise.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub(crate) fn increment(&self) {
        self.add(1);
    }

    pub(crate) fn add(&self, amount: usize) {
        self.0.fetch_add(amount as u64, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Declares the shared counters and the struct that they are read through.
macro_rules! counters {
    ($(#[$doc:meta])* $snapshot:ident, $shared:ident { $($(#[$field_doc:meta])* $field:ident,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
        pub struct $snapshot {
            $($(#[$field_doc])* pub $field: u64,)*
        }

        #[derive(Debug, Default)]
        pub(crate) struct $shared {
            $(pub(crate) $field: Counter,)*
        }

        impl $shared {
            pub(crate) fn snapshot(&self) -> $snapshot {
                $snapshot {
                    $($field: self.$field.get(),)*
                }
            }
        }
    };
}

counters! {
    /// What went over the links of a process since it started.
    LinkCounts, LinkCounters {
        /// Frames handed to the kernel.
        frames_sent_count,
        /// Frames received and decoded.
        frames_received_count,
        /// Bytes handed to the kernel.
        bytes_sent_count,
        /// Calls that handed bytes to the kernel; frames per write show how well they batch.
        writes_count,
        /// Frames that were too long or could not be decoded; each closed its connection.
        frames_malformed_count,
        /// Frames of ours that were too long to send; each closed its connection.
        frames_unsendable_count,
        /// Frames for a link that was closed already.
        frames_unlinked_count,
        /// Connections closed because their queue was full.
        queues_overflowed_count,
        /// Connections opened, either way.
        connections_opened_count,
        /// Inbound connections refused because there were too many.
        connections_refused_count,
        /// Failures to accept a connection, such as for lack of descriptors.
        accepts_failed_count,
        /// Dials that failed.
        dials_failed_count,
        /// Dials not begun because too many were under way.
        dials_refused_count,
    }
}

counters! {
    /// What went over the links of a process in messages of one kind, prefixes included.
    KindCounts, KindCounters {
        /// Frames handed to the kernel.
        frames_sent_count,
        /// Bytes handed to the kernel.
        bytes_sent_count,
        /// Frames received and decoded.
        frames_received_count,
        /// Bytes of those.
        bytes_received_count,
    }
}

/// Counts what goes over the links of a process, in all and by the kind of message.
#[derive(Debug, Default)]
pub(crate) struct LinkMeter {
    pub(crate) totals: LinkCounters,
    kinds: [KindCounters; MessageKind::ALL.len()],
}

impl LinkMeter {
    pub(crate) fn kind(&self, kind: MessageKind) -> &KindCounters {
        &self.kinds[kind as usize]
    }
}

counters! {
    /// What went over the datagram socket of a process since it started.
    DatagramCounts, DatagramCounters {
        /// Datagrams sent.
        datagrams_sent_count,
        /// Datagrams received and decoded.
        datagrams_received_count,
        /// Bytes of announcements of minions among those received.
        announcement_bytes_received_count,
        /// Bytes sent.
        bytes_sent_count,
        /// Bytes received, of malformed datagrams too.
        bytes_received_count,
        /// Datagrams that could not be decoded; they were dropped.
        datagrams_malformed_count,
        /// Datagrams that could not be sent.
        sends_failed_count,
    }
}
