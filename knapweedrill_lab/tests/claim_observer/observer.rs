use std::collections::{BTreeMap, HashMap};

use knapweedrill::dispatch::sidecar::RunKey;
use knapweedrill_lab::stand_in::platform::MinionModel;

use super::contradiction::Contradiction;
use super::{Claim, PendingStart, PlacementId};

/// Records which placement each run at the minions belongs to, and the claims that placements are
/// over.
#[derive(Debug, Default)]
pub(crate) struct ClaimObserver {
    /// The placement of each run that a minion has started, by minion, and when its order was sent.
    runs: HashMap<(usize, RunKey), (PlacementId, u64)>,
    /// The first claim of each placement, with the number of the event and its time.
    claims: HashMap<PlacementId, (u64, u64, Claim)>,
    /// The event with which each sidecar process learned of an incarnation of its minion, by the
    /// start of that.
    learned: HashMap<(u64, u64), u64>,
    event_count: u64,
    claim_counts: BTreeMap<&'static str, u32>,
    /// The placements claimed to be over that a later incarnation of the minion has started, or may
    /// start, from an order to an earlier one before the sidecar could know of it (issue 18).
    inherited: HashMap<PlacementId, Claim>,
}

impl ClaimObserver {
    /// Returns the number of claims of each kind.
    pub(crate) fn claim_counts(&self) -> &BTreeMap<&'static str, u32> {
        &self.claim_counts
    }

    /// Returns the number of false claims that follow from the gap of issue 18.
    pub(crate) fn inherited_count(&self) -> usize {
        self.inherited.len()
    }

    /// Records that a minion has started a run.
    pub(crate) fn record_start(
        &mut self,
        minion: usize,
        run: RunKey,
        placement: PlacementId,
        order_sent_ms: u64,
    ) {
        self.runs.insert((minion, run), (placement, order_sent_ms));
    }

    /// Records that a sidecar process has heard of the incarnation of its minion that started then.
    pub(crate) fn record_incarnation(&mut self, sidecar: u64, started_unix_ms: u64) {
        self.event_count += 1;
        let key = (sidecar, started_unix_ms);
        self.learned.entry(key).or_insert(self.event_count);
    }

    /// Returns whether a placement was claimed to be over by a sidecar that had heard of the
    /// incarnation of its minion that started then.
    pub(crate) fn could_know(&self, placement: PlacementId, started_unix_ms: u64) -> bool {
        let learned = self.learned.get(&(placement.sidecar, started_unix_ms));
        match self.claims.get(&placement) {
            Some((event, _, Claim::Reported(_))) => learned.is_some_and(|learned| learned < event),
            Some((.., Claim::Lost)) | None => false,
        }
    }

    /// Checks a claim that is made now.
    ///
    /// # Errors
    ///
    /// Returns a description if the run is at the minion, or an order on its way would start it.
    pub(crate) fn check_claim<'a>(
        &mut self,
        placement: PlacementId,
        claim: Claim,
        (index, minion): (usize, &MinionModel),
        pending: impl Iterator<Item = PendingStart<'a>>,
        now_ms: u64,
    ) -> Result<(), String> {
        *self.claim_counts.entry(claim.kind()).or_default() += 1;
        self.event_count += 1;
        let claimed = (self.event_count, now_ms, claim);
        self.claims.entry(placement).or_insert(claimed);
        let running = self
            .running_at(index, minion)
            .find_map(|(of, contradiction)| (of == placement).then_some(contradiction));
        let startable = || {
            pending
                .filter(|start| start.placement == placement)
                .find(|start| minion.would_start(start.call, start.execute_at_ms))
                .map(|start| Contradiction::Startable {
                    run: start.call.run,
                    execute_at_ms: start.execute_at_ms,
                    order_sent_ms: start.sent_ms,
                })
        };
        match running.or_else(startable) {
            Some(contradiction) => self.judge(placement, contradiction, minion),
            None => Ok(()),
        }
    }

    /// Checks that a minion runs no placement that was claimed to be over.
    ///
    /// # Errors
    ///
    /// Returns the placement and a description of the first such run.
    pub(crate) fn check_runs(
        &mut self,
        index: usize,
        minion: &MinionModel,
    ) -> Result<(), (PlacementId, String)> {
        let of_claims: Vec<_> = self
            .running_at(index, minion)
            .filter(|(placement, _)| self.claims.contains_key(placement))
            .collect();
        for (placement, contradiction) in of_claims {
            self.judge(placement, contradiction, minion)
                .map_err(|text| (placement, text))?;
        }
        Ok(())
    }

    fn running_at<'a>(
        &'a self,
        index: usize,
        minion: &'a MinionModel,
    ) -> impl Iterator<Item = (PlacementId, Contradiction)> + 'a {
        minion.running_since().filter_map(move |(run, started_ms)| {
            let (placement, order_sent_ms) = *self.runs.get(&(index, run))?;
            let contradiction = Contradiction::Running {
                run,
                started_ms,
                order_sent_ms,
            };
            Some((placement, contradiction))
        })
    }

    /// Counts a false claim if it follows from the gap of issue 18.
    ///
    /// # Errors
    ///
    /// Returns a description of any other one.
    fn judge(
        &mut self,
        placement: PlacementId,
        contradiction: Contradiction,
        minion: &MinionModel,
    ) -> Result<(), String> {
        let (_, claimed_ms, claim) = self.claims[&placement];
        let started_unix_ms = minion.started_unix_ms;
        let is_inherited = contradiction.order_sent_ms() < started_unix_ms;
        if is_inherited && !self.could_know(placement, started_unix_ms) {
            self.inherited.insert(placement, claim);
            return Ok(());
        }
        Err(format!(
            "false claim: {placement:?} {claim} at {claimed_ms} ms: {contradiction:?}, minion {} \
             since {started_unix_ms} ms",
            minion.instance
        ))
    }
}
