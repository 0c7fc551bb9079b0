//! Applies the memory budget of a process to its HTTP listeners.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::super::metrics::Metrics;
use super::budget_limits::BudgetLimits;
use super::client_connection::ClientConnection;
use super::memory_budget::{BudgetCounts, ConnectionId, Decision, MemoryBudget};

/// The interval at which unfinished heads are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long nothing must have been refused or closed until clients count as within the limits again.
const CALM_TIME: Duration = Duration::from_secs(10);

/// The memory budget of a process, which all its HTTP listeners share. Clones are the same gate.
#[derive(Debug, Clone)]
pub(in crate::dispatch) struct ClientGate {
    limits: BudgetLimits,
    state: Arc<Mutex<GateState>>,
}

#[derive(Debug)]
struct GateState {
    budget: MemoryBudget,
    /// How connections are told to close.
    closers: HashMap<ConnectionId, Arc<Notify>>,
}

impl ClientGate {
    /// Creates the gate of a process.
    pub(in crate::dispatch) fn new(limits: BudgetLimits) -> Self {
        log::info!(
            connections_max = limits.connection_count_max,
            backlog_max = limits.traffic_backlog_count,
            large_request_bytes_max = limits.large_bytes_max; "client limits"
        );
        let state = GateState {
            budget: MemoryBudget::new(limits),
            closers: HashMap::new(),
        };
        Self {
            limits,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the limits.
    pub(in crate::dispatch) fn limits(&self) -> BudgetLimits {
        self.limits
    }

    /// Registers a connection, or returns `None` if it must be closed at once. Waits for another one to
    /// end if the limit is reached.
    pub(in crate::dispatch) async fn accept(&self, address: IpAddr) -> Option<ClientConnection> {
        loop {
            match self.with(|budget| budget.admit_connection(Instant::now())) {
                Decision::Granted => break,
                Decision::Wait => tokio::task::yield_now().await,
                Decision::Refused => return None,
            }
        }
        let closer = Arc::new(Notify::new());
        let mut state = self.lock();
        let id = state.budget.register(address, Instant::now());
        state.closers.insert(id, Arc::clone(&closer));
        drop(state);
        Some(ClientConnection::new(self.clone(), id, closer))
    }

    /// Closes connections with unfinished heads, and reports the use of the limits, for ever.
    pub(in crate::dispatch) async fn watch(self, metrics: Metrics) {
        let mut seen = BudgetCounts::default();
        let mut changed_at: Option<Instant> = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = Instant::now();
            let (usage, counts) = self.with(|budget| {
                budget.close_overdue(now);
                (budget.usage(), budget.counts())
            });
            metrics.update_clients(usage, &counts);
            if counts != seen {
                seen = counts;
                if changed_at.replace(now).is_none() {
                    log::warn!(
                        connections = usage.connection_count, large_request_bytes = usage.large_bytes,
                        counts:? = counts; "clients exceed the limits"
                    );
                }
            } else if changed_at.is_some_and(|at| now.duration_since(at) >= CALM_TIME) {
                changed_at = None;
                log::warn!(
                    connections = usage.connection_count, large_request_bytes = usage.large_bytes,
                    counts:? = counts; "clients are within the limits again"
                );
            }
        }
    }

    /// Applies a change to the budget, and tells connections that are to be closed.
    pub(super) fn with<T>(&self, change: impl FnOnce(&mut MemoryBudget) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state.budget);
        for (id, cause) in state.budget.take_to_close() {
            log::debug!(connection:? = id, cause:? = cause; "closing a connection of a client");
            if let Some(closer) = state.closers.get(&id) {
                closer.notify_one();
            }
        }
        result
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&self, id: ConnectionId) {
        let mut state = self.lock();
        state.budget.remove(id);
        state.closers.remove(&id);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, GateState> {
        // No change of the budget panics half done.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
