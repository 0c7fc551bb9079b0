//! The order in which teams get the slots of a minion.
//!
//! Teams below their guaranteed share go first, the more urgent class before the less urgent one.
//! Spare capacity goes by class and within a class by weighted start-time fair queueing. Both rest
//! on measured slot-seconds. Caps are token buckets in slot-seconds.
//!
//! Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996.

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

/// Orders the flows of all teams at the slots of one minion.
#[derive(Debug)]
pub struct FairShare {
    slot_count: u32,
    teams: Vec<Team>,
    accounts: HashMap<TeamName, Account>,
    /// The virtual time of each class, in slot-seconds per unit of weight.
    virtual_s: [f64; Class::ALL.len()],
}

impl FairShare {
    /// Creates an order over `slot_count` slots; no team has a share yet.
    pub fn new(slot_count: u32) -> Self {
        Self {
            slot_count,
            teams: Vec::new(),
            accounts: HashMap::new(),
            virtual_s: Default::default(),
        }
    }

    /// Sets the shares and caps; a team that is not named has no share and no cap.
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
        self.apply_terms();
    }

    /// Sets the number of slots.
    pub fn set_slot_count(&mut self, slot_count: u32) {
        self.slot_count = slot_count;
        self.apply_terms();
    }

    fn apply_terms(&mut self) {
        let named: HashMap<&str, &Team> = self
            .teams
            .iter()
            .map(|team| (team.name.as_str(), team))
            .collect();
        for (name, account) in &mut self.accounts {
            match named.get(name.as_str()) {
                Some(team) => {
                    account.set_terms(team.share_percent, team.cap_percent, self.slot_count);
                }
                None => account.set_terms(0, 100, self.slot_count),
            }
        }
    }

    /// Returns the index of the candidate that goes next, or `None` if caps hold all of them back.
    ///
    /// The choice changes nothing but the virtual time; [`Self::started`] or [`Self::promised`]
    /// charges the team.
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

    /// Returns the index of the promised task that goes next, like [`Self::choose`].
    pub fn choose_promised<'a>(
        &mut self,
        candidates: impl IntoIterator<Item = &'a Flow>,
        now: Instant,
    ) -> Option<usize> {
        let ranks = candidates
            .into_iter()
            .map(|flow| self.rank_promised(flow, now))
            .collect::<Vec<_>>();
        self.advance_to_least(ranks)
    }

    /// Returns the index of the least rank and moves the virtual time up to it.
    fn advance_to_least(&mut self, ranks: Vec<Option<Rank>>) -> Option<usize> {
        let (index, rank) = ranks
            .into_iter()
            .enumerate()
            .filter_map(|(index, rank)| Some((index, rank?)))
            .min_by(|(_, left), (_, right)| left.total_cmp(right))?;
        if rank.is_spare {
            let virtual_s = &mut self.virtual_s[rank.class as usize];
            *virtual_s = virtual_s.max(rank.tag_s);
        }
        Some(index)
    }

    /// Returns the place of a flow in the order, or `None` if its team's cap holds it back.
    pub fn rank(&mut self, flow: &Flow, now: Instant) -> Option<Rank> {
        let virtual_s = self.virtual_s[flow.class as usize];
        self.account(&flow.team, now).rank(flow.class, virtual_s)
    }

    /// Returns the place of a task that was promised a slot; its own promise does not count.
    pub fn rank_promised(&mut self, flow: &Flow, now: Instant) -> Option<Rank> {
        let virtual_s = self.virtual_s[flow.class as usize];
        self.account(&flow.team, now)
            .rank_promised(flow.class, virtual_s)
    }

    /// Charges a task of the flow that starts to run.
    pub fn started(&mut self, flow: &Flow, now: Instant) {
        let virtual_s = self.virtual_s[flow.class as usize];
        self.account(&flow.team, now)
            .begin(flow.class, Some(now), virtual_s);
    }

    /// Settles the charge of a task that held its slot for `run_time`.
    pub fn ended(&mut self, flow: &Flow, run_time: Duration, now: Instant) {
        self.account(&flow.team, now).end(flow.class, run_time, now);
    }

    /// Charges a slot that is promised to the flow.
    pub fn promised(&mut self, flow: &Flow, now: Instant) {
        let virtual_s = self.virtual_s[flow.class as usize];
        self.account(&flow.team, now)
            .begin(flow.class, None, virtual_s);
    }

    /// Refunds the charge of a promise, which was taken back or is about to be used.
    pub fn released(&mut self, flow: &Flow, now: Instant) {
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
        account.settle(now);
        account
    }
}
