use knapweedrill::dispatch::message::PlacementOutcome;

use super::SidecarWorld;
use super::call_content::CallContent;
use super::claim_observer::{Claim, PendingStart, PlacementId};

impl SidecarWorld {
    pub(super) fn placement_id(&self, index: usize) -> PlacementId {
        let placement = &self.placements[index];
        PlacementId {
            sidecar: placement.process,
            entry: placement.entry,
            task: placement.task,
            attempt: placement.attempt,
        }
    }

    /// Checks a report that the sidecar sends now.
    ///
    /// # Panics
    ///
    /// Panics if its run is at the minion or may still start.
    pub(super) fn check_claim(&mut self, index: usize, outcome: PlacementOutcome) {
        let down_until_ms = self.minion_down_until_ms;
        let pending = self.calls.iter().filter_map(|call| {
            let CallContent::Start(start) = &call.content else {
                return None;
            };
            // A minion that is down refuses the connections of calls that are not delayed.
            if call.is_executed || (!call.is_late && call.execute_at_ms < down_until_ms) {
                return None;
            }
            Some(PendingStart {
                call: start,
                placement: self.placement_id(call.placement?),
                sent_ms: call.sent_ms,
                execute_at_ms: call.execute_at_ms.max(down_until_ms),
            })
        });
        let pending: Vec<_> = pending.collect();
        let placement = self.placement_id(index);
        let checked = self.claims.check_claim(
            placement,
            Claim::Reported(outcome),
            (0, &self.minion),
            pending.into_iter(),
            self.now_ms,
        );
        self.expect_true(checked);
    }

    /// Checks that the minion runs no placement that was claimed to be over.
    pub(super) fn check_claimed_runs(&mut self) {
        let checked = self.claims.check_runs(0, &self.minion);
        self.expect_true(checked.map_err(|(_, text)| text));
    }

    fn expect_true(&self, checked: Result<(), String>) {
        if let Err(text) = checked {
            panic!(
                "seed {}, {} ms: {text}\n{}",
                self.seed,
                self.now_ms,
                self.trace_text()
            );
        }
    }
}
