use super::claims::lost_placements;
use super::{ClockReading, Simulation};

impl Simulation {
    /// Lets the process on a node read its clock, and freezes it before it acts by this reading.
    pub(crate) fn stall_after_clock_reading(&mut self, node: usize, for_ms: u64) {
        self.record_event(
            None,
            format!("node {node} stalls for {for_ms} ms after it read its clock"),
        );
        let reading_ms = self.process_now_ms(node);
        let node = &mut self.nodes[node];
        node.clock_reading_ms.get_or_insert(reading_ms);
        node.frozen_until_ms = self.now_ms + for_ms;
    }

    /// Ends a stall: the process acts by its old reading of the clock, and reads it again.
    ///
    /// Where the clock is read for each event, only one is handled by the old reading, or for an
    /// entry its tick.
    pub(super) fn act_by_old_clock_reading(&mut self, index: usize) {
        if self.nodes[index].clock_reading_ms.is_none() {
            return;
        }
        let now = self.process_now(index);
        let clock_reading = self.clock_reading;
        let node = &mut self.nodes[index];
        let mut datagrams = Vec::new();
        let mut lost = Vec::new();
        if let Some(entry) = &mut node.entry {
            if !node.unread_submissions.is_empty() {
                let (caller, submission) = node.unread_submissions.remove(0);
                entry.submit(caller, submission, now);
            }
            let open: Vec<_> = entry.placements().collect();
            entry.tick(now);
            lost = lost_placements(&open, entry);
            entry.place_waiting(now);
            datagrams = entry.poll(now);
        } else if let Some(endpoint) = &mut node.sidecar {
            let count = match clock_reading {
                ClockReading::PerEvent => node.inbox.len().min(1),
                ClockReading::PerBatch => node.inbox.len(),
            };
            for (from, packet) in node.inbox.drain(..count) {
                endpoint.receive(from, packet, now);
            }
        }
        node.clock_reading_ms = None;
        self.check_lost(index, lost);
        for (to, packet) in datagrams {
            self.send_datagram(index, to, packet);
        }
    }

    /// Stops the process of an entry as on SIGTERM: it ends its jobs, sends what is due once and is
    /// gone.
    pub(crate) fn stop_entry(&mut self, index: usize, down_ms: u64) {
        self.record_event(None, format!("entry {index} stops for {down_ms} ms"));
        let now = self.process_now(index);
        let Some(entry) = &mut self.nodes[index].entry else {
            return;
        };
        entry.end_all_jobs(now);
        let actions = entry.take_actions();
        let datagrams = entry.poll(now);
        self.carry_out(index, actions);
        for (to, packet) in datagrams {
            self.send_datagram(index, to, packet);
        }
        self.stop_process(index, down_ms);
    }

    /// Makes a draining minion deregister. What runs there ends with
    /// [`Self::replace_machine`].
    pub(crate) fn deregister(&mut self, minion: usize) {
        self.record_event(None, format!("minion {minion} deregisters"));
        let node = self.entry_count + minion;
        let now = self.process_now(node);
        let instance = self.minions[minion].instance.clone();
        if let Some(endpoint) = &mut self.nodes[node].sidecar {
            endpoint.sidecar_mut().minion_left(&instance, now);
        }
    }

    /// Replaces a minion and its sidecar by new ones at the same address, which start after
    /// `down_ms`.
    pub(crate) fn replace_machine(&mut self, minion: usize, down_ms: u64) {
        let instance = format!("minion-{minion}-{}", self.now_ms);
        self.restart_minion_as(minion, instance);
        self.heartbeats[minion].0 = self.now_ms + down_ms + 1;
        self.kill(self.entry_count + minion, down_ms);
    }

    /// Sets the entry that callers choose as long as it runs.
    pub(crate) fn choose_entry(&mut self, entry: Option<usize>) {
        self.chosen_entry = entry;
    }
}
