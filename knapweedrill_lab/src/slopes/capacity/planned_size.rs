//! The planned size of the system, from the page on its design.

/// The workers, with one minion and one sidecar each.
pub(super) const WORKERS: f64 = 1_900.0;

/// The entries.
pub(super) const ENTRIES: f64 = 12.0;

/// The entries that a sidecar beats to, and that dial it.
pub(super) const TARGETS: f64 = 8.0;

/// Task starts a second over all entries.
pub(super) const STARTS_PER_S: f64 = 89_000.0;

/// The tasks of a large job.
pub(super) const LARGE_JOB_TASKS: f64 = 440.0;

/// The teams.
pub(super) const TEAMS: f64 = 72.0;

/// How long keys, rosters and tasks are remembered, in seconds.
pub(super) const KEPT_S: f64 = 300.0;

/// The tasks that an entry queues at most.
pub(super) const QUEUED_TASKS: f64 = 100_000.0;

/// The bytes of answers that an entry keeps at most.
pub(super) const ANSWER_BYTES: f64 = 33_554_432.0;

/// The bytes of a configuration of 72 teams and 200 kinds of work, as the lab writes it.
pub(super) const CONFIGURATION_BYTES: f64 = 21_650.0;

/// Changes of the configuration a day.
pub(super) const CHANGES_PER_DAY: f64 = 3_300.0;

/// Replacements of virtual machines a day.
pub(super) const REPLACEMENTS_PER_DAY: f64 = 720.0;

/// The seconds of a day.
pub(super) const DAY_S: f64 = 86_400.0;

/// The minions among which the sweeps of teams and of the configuration run.
pub(super) const SWEEP_MINIONS: f64 = 10.0;

/// How often a second the sweep of a sidecar tells demands.
pub(super) const DEMANDS_PER_S: f64 = 5.0;

/// How often a second an entry reads the tail of the log.
pub(super) const LOG_READS_PER_S: f64 = 4.0;

/// The bytes of a minion in a stored roster.
pub(super) const STORED_MINION_BYTES: f64 = 8.0;

/// The bytes of a minion in a roster that is sent.
pub(super) const SENT_MINION_BYTES: f64 = 10.0;

/// Returns the minions that an entry knows.
pub(super) fn minions_of_entry() -> f64 {
    WORKERS * TARGETS / ENTRIES
}

/// Returns the starts a second of an entry.
pub(super) fn starts_of_entry() -> f64 {
    STARTS_PER_S / ENTRIES
}

/// Returns the starts a second of a sidecar.
pub(super) fn starts_of_sidecar() -> f64 {
    STARTS_PER_S / WORKERS
}

/// Returns the changes of the configuration a second.
pub(super) fn changes_per_s() -> f64 {
    CHANGES_PER_DAY / DAY_S
}

/// Returns the changes of a set of minions a second; a replacement is two.
pub(super) fn roster_changes_per_s() -> f64 {
    REPLACEMENTS_PER_DAY * 2.0 / DAY_S
}
