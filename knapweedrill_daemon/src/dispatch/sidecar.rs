//! The process of a sidecar.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use knapweedrill::dispatch::message::{Message, Role, StampMs, Status};
use knapweedrill::dispatch::session::{Envelope, SessionEvent, Sessions};
use knapweedrill::dispatch::sidecar::{
    CallNumber, HoldAnswer, MinionReport, OrderAnswer, Sidecar, SidecarAction, SidecarSettings,
};
use knapweedrill_platform::{MinionClient, ProcessSettings, Record, StoreClient};
use knapweedrill_wire::EnvelopeSocket;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

use super::common::{BATCH_EVENT_COUNT, Process, TICK, start_traffic, unix_ms};
use super::http::serve;
use super::sidecar_http::{carry_orders, register};
use super::store::{ENTRIES_TOPIC, follow, read_address};

/// How long the store may let a call wait for new entries, which greet sidecars too.
const ADDRESSES_WAIT: Duration = Duration::from_secs(4);

/// What happens to a sidecar.
pub(super) enum SidecarEvent {
    /// A heartbeat of the minion came.
    Reported(MinionReport, oneshot::Sender<()>),
    /// The minion says that it ends.
    Left(String, oneshot::Sender<()>),
    /// An order to start was answered.
    StartAnswered(CallNumber, OrderAnswer, Option<StampMs>),
    /// An order to stop was answered.
    StopAnswered(CallNumber, OrderAnswer, Option<StampMs>),
    /// A hold was answered, or was not.
    HoldAnswered(CallNumber, Option<HoldAnswer>),
    /// A datagram came.
    Datagram(SocketAddr, Envelope),
    /// The store names an entry.
    Address(SocketAddr),
}

/// Runs a sidecar until it is told to stop.
pub(super) fn run(process: Process) -> eyre::Result<()> {
    let (sender, events) = channel::unbounded();
    let datagrams = sender.clone();
    let socket = EnvelopeSocket::start(process.address(), move |from, envelope| {
        // After the end of the state nobody needs the datagram.
        let _ = datagrams.send(SidecarEvent::Datagram(from, envelope));
    })?;
    let (orders, ordered) = mpsc::unbounded_channel();
    let settings = process.settings.clone();
    start_traffic(move || traffic(settings, ordered, sender))?;
    let defaults = SidecarSettings::default();
    let settings = SidecarSettings {
        lease: defaults.lease.min(process.settings.lease_max),
        stop_time: process.settings.stop_time,
        ..defaults
    };
    let control = Control {
        sidecar: Sidecar::new(settings, unix_ms()),
        sessions: process.sessions(),
        socket,
        orders,
    };
    control.run(process, &events);
    Ok(())
}

async fn traffic(
    settings: ProcessSettings,
    orders: UnboundedReceiver<SidecarAction>,
    events: Sender<SidecarEvent>,
) -> eyre::Result<()> {
    let store = Arc::new(StoreClient::new(settings.store_address));
    let sender = events.clone();
    let addresses = move |record: Record| match read_address(&record) {
        // After the end of the state nobody needs the news.
        Some(address) => drop(sender.send(SidecarEvent::Address(address))),
        None => log::warn!(key = record.key.as_str(); "an entry's address can't be read"),
    };
    tokio::spawn(follow(store, ENTRIES_TOPIC, ADDRESSES_WAIT, addresses));
    let minion_address = settings
        .minion_address
        .ok_or_else(|| eyre::eyre!("the settings name no minion"))?;
    let minion = MinionClient::new(minion_address);
    tokio::spawn(carry_orders(minion, orders, events.clone()));
    let address = settings
        .registration_address
        .ok_or_else(|| eyre::eyre!("the settings name no address at which minions register"))?;
    serve(address, move |request| register(events.clone(), request)).await
}

/// The control state of the process.
struct Control {
    sidecar: Sidecar,
    sessions: Sessions,
    socket: EnvelopeSocket,
    orders: UnboundedSender<SidecarAction>,
}

impl Control {
    fn run(mut self, mut process: Process, events: &Receiver<SidecarEvent>) {
        let own_address = process.address();
        let mut next_tick = Instant::now();
        loop {
            match events.recv_timeout(next_tick.saturating_duration_since(Instant::now())) {
                Ok(event) => {
                    let now = Instant::now();
                    // Time-outs come first: after a pause of the process they may be long due.
                    self.sidecar.tick(now);
                    self.handle(event, own_address, now);
                    for event in events.try_iter().take(BATCH_EVENT_COUNT) {
                        self.handle(event, own_address, now);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = Instant::now();
            self.sidecar.tick(now);
            if now >= next_tick {
                next_tick = now + TICK;
                process
                    .stop
                    .reload(&process.settings_file, &process.settings);
            }
            self.flush(now);
            if process.stop.has_begun(now) {
                self.sidecar.leave();
            }
            if process.stop.is_over(self.sidecar.run_count() > 0, now) {
                log::info!(runs = self.sidecar.run_count(); "process stopped");
                return;
            }
        }
    }

    fn handle(&mut self, event: SidecarEvent, own_address: SocketAddr, now: Instant) {
        match event {
            SidecarEvent::Reported(report, done) => {
                self.sidecar.minion_reported(report, now);
                // A minion that has hung up hears it with its next heartbeat, here and below.
                let _ = done.send(());
            }
            SidecarEvent::Left(instance, done) => {
                self.sidecar.minion_left(&instance, now);
                let _ = done.send(());
            }
            SidecarEvent::StartAnswered(call, answer, clock_ms) => {
                self.sidecar.start_answered(call, answer, clock_ms, now);
            }
            SidecarEvent::StopAnswered(call, answer, clock_ms) => {
                self.sidecar.stop_answered(call, answer, clock_ms, now);
            }
            SidecarEvent::HoldAnswered(call, answer) => {
                self.sidecar.hold_answered(call, answer, now);
            }
            SidecarEvent::Datagram(from, envelope) => self.receive(from, envelope, now),
            SidecarEvent::Address(address) => {
                if address != own_address && self.sessions.greet(address) {
                    log::info!(address:% = address; "entry found");
                }
            }
        }
    }

    fn receive(&mut self, from: SocketAddr, envelope: Envelope, now: Instant) {
        let process = envelope.from;
        for event in self.sessions.receive(from, envelope, now) {
            self.take_event(event, now);
        }
        if let Some(at) = self.sessions.echoed_at(process) {
            self.sidecar.entry_alive(process, at);
        }
    }

    fn take_event(&mut self, event: SessionEvent, now: Instant) {
        match event {
            SessionEvent::Up(process, Role::Entry) => {
                log::info!(entry:% = process; "entry reached");
                self.sidecar.entry_up(process, now);
            }
            SessionEvent::Gone(process) => {
                log::warn!(process:% = process; "process replaced by another at its address");
                self.sidecar.entry_gone(process, now);
            }
            SessionEvent::Silent(process) => {
                log::warn!(process:% = process; "process out of reach")
            }
            SessionEvent::Heard(process) => log::info!(process:% = process; "process heard again"),
            SessionEvent::Message(process, Message::Start(order)) => {
                let stamped_at = self.sessions.identity().moment(order.sidecar_stamp_ms);
                self.sidecar.start(process, order, stamped_at, now);
            }
            SessionEvent::Message(process, Message::Stop { task, attempt }) => {
                self.sidecar.stop(process, task, attempt, now);
            }
            SessionEvent::Message(process, message) => {
                log::warn!(process:% = process, message:? = message; "not a message for a sidecar");
            }
            SessionEvent::Up(..) | SessionEvent::Status(..) => {}
        }
    }

    fn flush(&mut self, now: Instant) {
        for action in self.sidecar.take_actions() {
            match action {
                SidecarAction::Send(entry, message) => {
                    self.sessions.send(entry, message);
                }
                // Without the traffic thread the process is about to end.
                order => drop(self.orders.send(order)),
            }
        }
        let status = Status::Sidecar(self.sidecar.status());
        let entries: Vec<_> = self.sidecar.entries().collect();
        for entry in entries {
            let is_busy = self.sidecar.has_runs_of(entry);
            self.sessions.set_busy(entry, is_busy, now);
            self.sessions.set_status(entry, status);
        }
        let (datagrams, events) = self.sessions.poll(now);
        for (to, envelope) in datagrams {
            self.socket.send(to, &envelope);
        }
        for event in events {
            self.take_event(event, now);
        }
    }
}
