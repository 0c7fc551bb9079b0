use std::collections::HashMap;

use knapweedrill::dispatch::JobName;
use knapweedrill::dispatch::entry::{Entry, TaskPlacement};
use knapweedrill::dispatch::message::{Message, TaskReport};
use knapweedrill::dispatch::sidecar::{CallNumber, Sidecar, SidecarAction};

use super::Simulation;
use super::call_content::CallContent;
use super::claim_observer::{Claim, ClaimObserver, PendingStart, PlacementId};
use super::response::Response;

/// The claims of the simulated processes that placements are over.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    pub(super) observer: ClaimObserver,
    pub(super) seed: u64,
    /// Whether false claims are accepted, so that what follows from them shows.
    accepts_false: bool,
    /// The incarnations of minions that sidecar processes have heard of since their last output: the
    /// process, the start, and how many actions were pending before.
    news: Vec<(u64, u64, usize)>,
    /// The incarnation of the newest process on each node.
    incarnations: HashMap<usize, u64>,
    /// The nodes of all processes.
    nodes: HashMap<u64, usize>,
}

/// What a sidecar is about to send.
#[derive(Debug, Default)]
pub(super) struct SidecarOutput {
    /// The placement of each start order.
    pub(super) starts: HashMap<CallNumber, PlacementId>,
    /// The reports, with their positions among the actions.
    pub(super) reports: Vec<(usize, PlacementId, TaskReport)>,
}

impl Claims {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    pub(super) fn record_process(&mut self, node: usize, incarnation: u64) {
        self.incarnations.insert(node, incarnation);
        self.nodes.insert(incarnation, node);
    }

    /// Records that a sidecar has heard of the incarnation of its minion that started then.
    /// What is pending by then was decided without this knowledge.
    pub(super) fn record_incarnation(
        &mut self,
        node: usize,
        started_unix_ms: u64,
        action_count: usize,
    ) {
        let sidecar = self.incarnations[&node];
        self.news.push((sidecar, started_unix_ms, action_count));
    }

    /// Passes on what a sidecar had heard before it decided on the action at a position.
    fn pass_news(&mut self, node: usize, position: usize) {
        let process = self.incarnations[&node];
        let known = self.news.extract_if(.., |(sidecar, _, action_count)| {
            *sidecar == process && *action_count <= position
        });
        for (sidecar, started_unix_ms, _) in known {
            self.observer.record_incarnation(sidecar, started_unix_ms);
        }
    }

    /// Records what a response that is delivered to a sidecar says of its minion.
    pub(super) fn record_response(
        &mut self,
        node: usize,
        response: &Response,
        action_count: usize,
    ) {
        if let Response::Hold(_, Some(answer)) = response {
            self.record_incarnation(node, answer.started_unix_ms, action_count);
        }
    }

    /// Returns what a sidecar is about to send.
    pub(super) fn output_of(&self, node: usize, sidecar: &Sidecar) -> SidecarOutput {
        let process = self.incarnations[&node];
        let mut output = SidecarOutput::default();
        for (position, action) in sidecar.pending_actions().iter().enumerate() {
            if let SidecarAction::Send(entry, Message::Report(report)) = action {
                let placement = PlacementId {
                    sidecar: process,
                    entry: *entry,
                    task: report.task,
                    attempt: report.attempt,
                };
                output.reports.push((position, placement, report.clone()));
            }
        }
        for action in sidecar.pending_actions() {
            let SidecarAction::Start(call) = action else {
                continue;
            };
            let task = call.run.task;
            let open = sidecar
                .placement_of(call.run)
                .map(|(entry, attempt)| PlacementId {
                    sidecar: process,
                    entry,
                    task,
                    attempt,
                });
            // A run that was ordered and settled since the last call is in the reports.
            let settled = output.reports.iter().rev();
            let settled = settled.map(|(_, placement, _)| *placement);
            let placement = open.or_else(|| settled.clone().find(|of| of.task == task));
            output
                .starts
                .insert(call.call, placement.expect("a run has a placement"));
        }
        output
    }
}

impl Simulation {
    /// Returns the claims that were made and how many of them were false by the gap of issue 18.
    pub(crate) fn claim_summary(&self) -> String {
        format!(
            "claims {:?}, false by issue 18: {}",
            self.claims.observer.claim_counts(),
            self.claims.observer.inherited_count()
        )
    }

    /// Accepts false claims from now on, to show what follows from them.
    pub(crate) fn accept_false_claims(&mut self) {
        self.claims.accepts_false = true;
    }

    /// Checks the reports that a sidecar sends now.
    ///
    /// # Panics
    ///
    /// Panics if a run of one is at the minion or may still start.
    pub(super) fn check_reports(
        &mut self,
        node: usize,
        reports: Vec<(usize, PlacementId, TaskReport)>,
    ) {
        for (position, placement, report) in reports {
            self.claims.pass_news(node, position);
            self.check_claim(placement, Claim::Reported(report.outcome));
        }
        self.claims.pass_news(node, usize::MAX);
    }

    /// Checks the placements that an entry has given up as lost in a tick.
    ///
    /// # Panics
    ///
    /// Panics if a run of one is at the minion or may still start.
    pub(super) fn check_lost(&mut self, entry: usize, lost: Vec<TaskPlacement>) {
        for placement in lost {
            let placement = PlacementId {
                sidecar: placement.sidecar,
                entry: self.claims.incarnations[&entry],
                task: placement.task,
                attempt: placement.attempt,
            };
            self.check_claim(placement, Claim::Lost);
        }
    }

    fn check_claim(&mut self, placement: PlacementId, claim: Claim) {
        let job = placement.task.job;
        self.record_event(Some(job), format!("{placement:?} {claim}"));
        let node = self.claims.nodes[&placement.sidecar];
        let index = node - self.entry_count;
        let pending = self.calls.iter().filter_map(|call| {
            let CallContent::Start(start) = &call.content else {
                return None;
            };
            Some(PendingStart {
                call: start,
                placement: call.placement.filter(|_| !call.is_executed)?,
                sent_ms: call.sent_ms,
                execute_at_ms: call.execute_at_ms,
            })
        });
        let minion = (index, &self.minions[index]);
        let checked =
            self.claims
                .observer
                .check_claim(placement, claim, minion, pending, self.now_ms);
        if let Err(text) = checked {
            self.report_false_claim(job, &text);
        }
    }

    /// Checks that no minion runs a placement that was claimed to be over.
    pub(super) fn check_claimed_runs(&mut self) {
        for index in 0..self.minions.len() {
            let checked = self.claims.observer.check_runs(index, &self.minions[index]);
            if let Err((placement, text)) = checked {
                self.report_false_claim(placement.task.job, &text);
            }
        }
    }

    fn report_false_claim(&self, job: JobName, text: &str) {
        assert!(
            self.claims.accepts_false,
            "seed {}, {} ms: {text}\n{}",
            self.claims.seed,
            self.now_ms,
            self.trace_of(job)
        );
    }
}

/// Returns the placements that were open before a tick of an entry and that it has given up while
/// their jobs go on.
pub(super) fn lost_placements(before: &[TaskPlacement], entry: &Entry) -> Vec<TaskPlacement> {
    let open: std::collections::HashSet<_> = entry.placements().collect();
    let lost = before.iter().filter(|placement| !open.contains(placement));
    lost.filter(|placement| entry.is_live(placement.task.job))
        .copied()
        .collect()
}
