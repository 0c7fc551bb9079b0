//! Fair sharing of a minion's slots among teams.
//!
//! Teams below their guaranteed share take precedence, the more urgent class first. Spare capacity
//! is distributed by class, and within a class by weighted start-time fair queueing. Both are
//! accounted in measured slot-seconds. Caps are token buckets in slot-seconds.
//!
//! Reference: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996.

mod account;
mod flow;
mod rank;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use account::Account;

use super::{Class, Team};
use crate::common::TeamName;

pub use flow::Flow;
pub use rank::Rank;

/// Orders the flows of all teams for the slots of one minion.
#[derive(Debug)]
pub struct FairShare {
    slot_count: u32,
    teams: Vec<Team>,
    accounts: HashMap<TeamName, Account>,
    /// The virtual time of each class, in slot-seconds per unit of weight.
    virtual_s: [f64; Class::ALL.len()],
}

impl FairShare {
    /// Creates the order for `slot_count` slots, in which no team has a share yet.
    pub fn new(slot_count: u32) -> Self {
        Self {
            slot_count,
            teams: Vec::new(),
            accounts: HashMap::new(),
            virtual_s: Default::default(),
        }
    }

    /// Sets the shares and caps; teams that are not listed have neither.
    pub fn set_teams(&mut self, teams: &[Team]) {
        self.teams = teams.to_vec();
        self.accounts.retain(|name, account| {
            account.is_in_use() || teams.iter().any(|team| team.name == *name)
        });
        for team in teams {
            self.accounts
                .entry(team.name.clone())
                .or_insert_with(Account::new);
        }
        self.update_accounts();
    }

    /// Sets the number of slots of the minion.
    pub fn set_slot_count(&mut self, slot_count: u32) {
        self.slot_count = slot_count;
        self.update_accounts();
    }

    fn update_accounts(&mut self) {
        let teams_by_name: HashMap<&str, &Team> = self
            .teams
            .iter()
            .map(|team| (team.name.as_str(), team))
            .collect();
        for (name, account) in &mut self.accounts {
            match teams_by_name.get(name.as_str()) {
                Some(team) => {
                    account.set_share_and_cap(
                        team.share_percent,
                        team.cap_percent,
                        self.slot_count,
                    );
                }
                None => account.set_share_and_cap(0, 100, self.slot_count),
            }
        }
    }

    /// Returns the index of the candidate to start next, or `None` if caps block all of them.
    ///
    /// Updates only the virtual time; [`Self::record_start`] or [`Self::reserve`] charges the team.
    pub fn choose<'a>(
        &mut self,
        candidates: impl IntoIterator<Item = &'a Flow>,
        now: Instant,
    ) -> Option<usize> {
        let ranks = candidates
            .into_iter()
            .map(|flow| self.rank(flow, now))
            .collect::<Vec<_>>();
        self.advance_to_least(ranks)
    }

    /// Returns the index of the task with a reserved slot to start next, as [`Self::choose`] does.
    pub fn choose_reserved<'a>(
        &mut self,
        candidates: impl IntoIterator<Item = &'a Flow>,
        now: Instant,
    ) -> Option<usize> {
        let ranks = candidates
            .into_iter()
            .map(|flow| self.rank_reserved(flow, now))
            .collect::<Vec<_>>();
        self.advance_to_least(ranks)
    }

    /// Returns the index of the lowest rank and advances the virtual time to it.
    fn advance_to_least(&mut self, ranks: Vec<Option<Rank>>) -> Option<usize> {
        let (index, rank) = ranks
            .into_iter()
            .enumerate()
            .filter_map(|(index, rank)| Some((index, rank?)))
            .min_by(|(_, left), (_, right)| left.total_cmp(right))?;
        if rank.is_spare {
            let virtual_s = &mut self.virtual_s[rank.class as usize];
            *virtual_s = virtual_s.max(rank.order_s);
        }
        Some(index)
    }

    /// Returns the rank of a flow, or `None` if the cap of its team blocks it.
    pub fn rank(&mut self, flow: &Flow, now: Instant) -> Option<Rank> {
        let virtual_s = self.virtual_s[flow.class as usize];
        self.account(&flow.team, now).rank(flow.class, virtual_s)
    }

    /// Returns the rank of a task with a reserved slot, disregarding the charge of its reservation.
    pub fn rank_reserved(&mut self, flow: &Flow, now: Instant) -> Option<Rank> {
        let virtual_s = self.virtual_s[flow.class as usize];
        self.account(&flow.team, now)
            .rank_reserved(flow.class, virtual_s)
    }

    /// Records that a task of the flow has started, and charges its expected run time.
    pub fn record_start(&mut self, flow: &Flow, now: Instant) {
        let virtual_s = self.virtual_s[flow.class as usize];
        self.account(&flow.team, now)
            .begin(flow.class, Some(now), virtual_s);
    }

    /// Records that a task has ended, and corrects its charge to `run_time`, the time for which it
    /// occupied its slot.
    pub fn record_end(&mut self, flow: &Flow, run_time: Duration, now: Instant) {
        self.account(&flow.team, now).end(flow.class, run_time, now);
    }

    /// Reserves a slot for the flow, and charges the expected run time.
    pub fn reserve(&mut self, flow: &Flow, now: Instant) {
        let virtual_s = self.virtual_s[flow.class as usize];
        self.account(&flow.team, now)
            .begin(flow.class, None, virtual_s);
    }

    /// Releases a reservation that was revoked or is about to be used, and refunds its charge.
    pub fn release(&mut self, flow: &Flow, now: Instant) {
        self.account(&flow.team, now).release(flow.class);
    }

    fn account(&mut self, team: &str, now: Instant) -> &mut Account {
        if !self.accounts.contains_key(team) {
            self.accounts.insert(team.to_owned(), Account::new());
        }
        let account = self
            .accounts
            .get_mut(team)
            .expect("the account was inserted above");
        account.update(now);
        account
    }
}
