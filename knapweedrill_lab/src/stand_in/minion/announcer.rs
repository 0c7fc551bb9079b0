//! The thread that announces a minion to its sidecar.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use knapweedrill::common::ServiceName;
use knapweedrill::minion::MinionState;
use knapweedrill_derive::message;

use super::state::SharedState;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Announces the minion to its sidecar until it is dropped.
#[derive(Debug)]
pub(super) struct Announcer {
    sender: Sender<Signal>,
    thread: Option<JoinHandle<()>>,
}

/// A message to the announcer thread.
#[derive(Debug, Clone, Copy)]
pub(super) enum Signal {
    /// Announce now instead of at the next interval.
    Announce,
    /// End the thread.
    Stop,
}

/// The channel to the announcer thread, created before the thread so that the HTTP handler can
/// hold a sender.
#[derive(Debug)]
pub(super) struct AnnouncerChannel {
    sender: Sender<Signal>,
    receiver: Receiver<Signal>,
}

impl AnnouncerChannel {
    pub(super) fn new() -> Self {
        let (sender, receiver) = bounded(1);
        Self { sender, receiver }
    }

    pub(super) fn sender(&self) -> Sender<Signal> {
        self.sender.clone()
    }
}

/// The body of `POST /v1/minion`.
#[message]
struct MinionAnnouncement {
    service: ServiceName,
    address: SocketAddr,
    slots: u32,
    speed_hint_percent: u32,
    state: MinionState,
}

impl Announcer {
    /// Announces that the minion runs tasks at `address`.
    pub(super) fn start(
        address: SocketAddr,
        state: Arc<SharedState>,
        channel: AnnouncerChannel,
    ) -> Self {
        let AnnouncerChannel { sender, receiver } = channel;
        let thread = thread::spawn(move || announce_until_stopped(address, &state, &receiver));
        Self {
            sender,
            thread: Some(thread),
        }
    }

    /// Requests an announcement now.
    pub(super) fn announce_now(&self) {
        announce_now(&self.sender);
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        // An error means that the thread has already ended.
        let _ = self.sender.send(Signal::Stop);
        if let Some(thread) = self.thread.take() {
            // The panic hook has already reported an announcer that panicked.
            let _ = thread.join();
        }
    }
}

/// Requests an announcement now.
pub(super) fn announce_now(sender: &Sender<Signal>) {
    // A full channel means that a signal is already pending.
    let _ = sender.try_send(Signal::Announce);
}

fn announce_until_stopped(address: SocketAddr, state: &SharedState, receiver: &Receiver<Signal>) {
    loop {
        // A failed announcement is repeated at the next interval.
        let _ = announce(address, state);
        match receiver.recv_timeout(ANNOUNCE_INTERVAL) {
            Ok(Signal::Announce) | Err(RecvTimeoutError::Timeout) => {}
            Ok(Signal::Stop) | Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn announce(address: SocketAddr, state: &SharedState) -> attohttpc::Result<()> {
    let options = &state.options;
    let announcement = MinionAnnouncement {
        service: options.service.clone(),
        address: options.advertised.unwrap_or(address),
        slots: state.control().slots.unwrap_or(options.slots),
        speed_hint_percent: options.speed_percent,
        state: state.announced_state(),
    };
    let body = serde_json::to_string(&announcement).expect("the announcement has only string keys");
    attohttpc::post(format!("http://{}/v1/minion", options.sidecar))
        .header("Content-Type", "application/json")
        .connect_timeout(CALL_TIMEOUT)
        .timeout(CALL_TIMEOUT)
        .text(body)
        .send()?;
    Ok(())
}
