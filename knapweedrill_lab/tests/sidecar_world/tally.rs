/// What happened in one or several worlds.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// The runs that the minion started.
    pub(crate) started_count: u32,
    /// The runs that were reported as done.
    pub(crate) done_count: u32,
    /// The placements that were refused or whose run ended without success.
    pub(crate) other_outcome_count: u32,
    /// The runs that had to end because of their entry or sidecar.
    pub(crate) abandoned_count: u32,
    /// The incarnations of the minion.
    pub(crate) incarnation_count: u32,
    /// The runs after a report that an incarnation started from an order to an earlier one, before
    /// the sidecar could know of it (issue 18).
    pub(crate) unknown_incarnation_count: u32,
    /// The false claims that follow from orders to an earlier incarnation (issue 18).
    pub(crate) false_claim_count: u32,
    /// The runs beyond their bound that an incarnation started from an order to an earlier one.
    pub(crate) long_lease_count: u32,
}

impl Tally {
    /// Adds the counts of another tally.
    pub(crate) fn add(&mut self, other: &Self) {
        self.started_count += other.started_count;
        self.done_count += other.done_count;
        self.other_outcome_count += other.other_outcome_count;
        self.abandoned_count += other.abandoned_count;
        self.incarnation_count += other.incarnation_count;
        self.unknown_incarnation_count += other.unknown_incarnation_count;
        self.false_claim_count += other.false_claim_count;
        self.long_lease_count += other.long_lease_count;
    }
}
