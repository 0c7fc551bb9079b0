use knapweedrill::dispatch::sidecar::OrderAnswer;
use rand::RngExt;

use super::Simulation;
use super::call_content::CallContent;
use super::claim_observer::PlacementId;
use super::response::Response;

/// The maximum number of starts and stops of a sidecar in flight.
const ORDERS_IN_FLIGHT_MAX: usize = 6;

/// A call that waits to be sent, or a response that waits to be read.
#[derive(Debug)]
struct Waiting<T> {
    due_ms: u64,
    node: usize,
    /// The generation of the process that made the call.
    generation: u64,
    content: T,
}

/// A call with the placement that a start order belongs to.
type UnsentCall = (CallContent, Option<PlacementId>);

/// Traffic threads of sidecars that are behind: they send calls late and in another order, and read
/// responses late.
#[derive(Debug, Default)]
pub(crate) struct SlowTraffic {
    /// The upper bound of the lag of a call or response, in milliseconds; 0 for threads that are
    /// never behind.
    pub(crate) lag_max_ms: u64,
    /// Until when the traffic threads send no starts, in milliseconds.
    starts_wait_until_ms: u64,
    unsent_calls: Vec<Waiting<UnsentCall>>,
    unread_responses: Vec<Waiting<Response>>,
}

impl Simulation {
    /// Lets the starts of all sidecars wait, as behind orders without an answer.
    pub(crate) fn hold_back_starts(&mut self, for_ms: u64) {
        self.record_event(None, format!("starts wait for {for_ms} ms"));
        self.slow_traffic.starts_wait_until_ms = self.now_ms + for_ms;
    }

    /// Returns the minions with a start that was not sent yet.
    pub(crate) fn minions_with_waiting_starts(&self) -> Vec<usize> {
        let calls = self.slow_traffic.unsent_calls.iter();
        calls
            .filter(|call| matches!(call.content.0, CallContent::Start(_)))
            .map(|call| call.node - self.entry_count)
            .collect()
    }

    /// Draws by how much the traffic thread is behind: not at all for half of the calls.
    fn draw_traffic_lag_ms(&mut self) -> u64 {
        if self.slow_traffic.lag_max_ms == 0 || self.random.random_bool(0.5) {
            return 0;
        }
        self.random.random_range(0..=self.slow_traffic.lag_max_ms)
    }

    /// Passes a call to the traffic thread of a sidecar.
    pub(super) fn add_call(
        &mut self,
        node: usize,
        content: CallContent,
        placement: Option<PlacementId>,
    ) {
        let waits_until_ms = match &content {
            CallContent::Start(_) => self.slow_traffic.starts_wait_until_ms,
            CallContent::Stop(_) | CallContent::Hold(_) => 0,
        };
        let due_ms = waits_until_ms.max(self.now_ms + self.draw_traffic_lag_ms());
        if due_ms == self.now_ms && self.slow_traffic.lag_max_ms == 0 {
            self.send_call(node, content, placement);
            return;
        }
        let call = Waiting {
            due_ms,
            node,
            generation: self.process_generations[node],
            content: (content, placement),
        };
        self.slow_traffic.unsent_calls.push(call);
    }

    /// Passes a response to the traffic thread of the sidecar that made the call.
    pub(super) fn respond_to(&mut self, node: usize, generation: u64, response: Response) {
        match self.draw_traffic_lag_ms() {
            0 => self.deliver_to_process(node, generation, response),
            lag_ms => self.slow_traffic.unread_responses.push(Waiting {
                due_ms: self.now_ms + lag_ms,
                node,
                generation,
                content: response,
            }),
        }
    }

    /// Sends the calls and reads the responses that are due.
    pub(super) fn run_traffic(&mut self) {
        let now_ms = self.now_ms;
        let due = |due_ms: u64| due_ms <= now_ms;
        let (calls, later) = std::mem::take(&mut self.slow_traffic.unsent_calls)
            .into_iter()
            .partition(|call| due(call.due_ms));
        self.slow_traffic.unsent_calls = later;
        for call in calls {
            if call.generation != self.process_generations[call.node] {
                continue;
            }
            let now = self.process_now(call.node);
            if self.is_traffic_blocked(&call) {
                self.slow_traffic.unsent_calls.push(call);
            } else if let CallContent::Start(start) = &call.content.0
                && now > start.send_until
            {
                let response = Response::Start(start.call, OrderAnswer::Overdue, None);
                self.respond_to(call.node, call.generation, response);
            } else {
                let (content, placement) = call.content;
                self.send_call(call.node, content, placement);
            }
        }
        let (responses, later) = std::mem::take(&mut self.slow_traffic.unread_responses)
            .into_iter()
            .partition(|response| due(response.due_ms));
        self.slow_traffic.unread_responses = later;
        for response in responses {
            self.deliver_to_process(response.node, response.generation, response.content);
        }
    }

    /// Returns whether the process stands still, other than in a slow round of its event loop, or an
    /// order has to wait for others.
    fn is_traffic_blocked(&self, call: &Waiting<UnsentCall>) -> bool {
        let is_frozen = self.nodes[call.node].frozen_until_ms > self.now_ms;
        if is_frozen && !self.is_in_slow_round(call.node) {
            return true;
        }
        let is_order = |content: &CallContent| !matches!(content, CallContent::Hold(_));
        let in_flight = self.calls.iter().filter(|other| {
            other.node == call.node
                && other.generation == call.generation
                && is_order(&other.content)
                && !(other.is_executed && other.is_resolved)
                && other.response_deadline_ms > self.now_ms
        });
        is_order(&call.content.0) && in_flight.count() >= ORDERS_IN_FLIGHT_MAX
    }
}
