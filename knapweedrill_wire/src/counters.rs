//! Traffic counters.

use std::sync::atomic::{AtomicU64, Ordering};

use knapweedrill::message::MessageKind;

/// A counter that several threads increment.
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

/// Declares a struct of shared counters and the public struct of its snapshots.
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
    /// Traffic and errors of all links of a process since its start.
    LinkCounts, LinkCounters {
        /// Frames handed to the kernel.
        frames_sent_count,
        /// Frames received and decoded.
        frames_received_count,
        /// Bytes handed to the kernel.
        bytes_sent_count,
        /// Write calls. The ratio of frames to writes is the batching factor.
        writes_count,
        /// Received frames that were too long or could not be decoded; each closed its connection.
        frames_malformed_count,
        /// Outgoing frames that were too long to send; each closed its connection.
        frames_unsendable_count,
        /// Frames dropped because their link was closed.
        frames_unlinked_count,
        /// Connections closed because their send queue was full.
        queues_overflowed_count,
        /// Connections opened, both inbound and outbound.
        connections_opened_count,
        /// Inbound connections refused because their limit was reached.
        connections_refused_count,
        /// Failed accepts, for example for lack of file descriptors.
        accepts_failed_count,
        /// Dials that failed.
        dials_failed_count,
        /// Dials not started because too many were in progress or no thread could be started.
        dials_refused_count,
    }
}

counters! {
    /// Traffic of one kind of message over all links of a process, including length prefixes.
    KindCounts, KindCounters {
        /// Frames handed to the kernel.
        frames_sent_count,
        /// Bytes handed to the kernel.
        bytes_sent_count,
        /// Frames received and decoded.
        frames_received_count,
        /// Bytes of the frames received and decoded.
        bytes_received_count,
    }
}

/// Counts the traffic over the links of a process, in total and by kind of message.
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
    /// Traffic and errors of the datagram socket of a process since its start.
    DatagramCounts, DatagramCounters {
        /// Datagrams sent.
        datagrams_sent_count,
        /// Datagrams received and decoded.
        datagrams_received_count,
        /// Bytes of the received datagrams that are announcements of minions.
        announcement_bytes_received_count,
        /// Bytes sent.
        bytes_sent_count,
        /// Bytes received, including malformed datagrams.
        bytes_received_count,
        /// Datagrams dropped because they could not be decoded.
        datagrams_malformed_count,
        /// Datagrams that could not be sent.
        sends_failed_count,
    }
}
