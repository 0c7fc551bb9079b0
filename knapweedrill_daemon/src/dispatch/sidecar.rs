//! The process of a sidecar.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use knapweedrill::dispatch::message::{MinionAvailability, StampMs};
use knapweedrill::dispatch::sidecar::{
    CallNumber, HoldAnswer, MinionHeartbeat, OrderAnswer, Sidecar, SidecarAction, SidecarEndpoint,
    SidecarSettings,
};
use knapweedrill::dispatch::{Packet, SidecarRecord};
use knapweedrill_platform::{MinionClient, ProcessSettings, StoreClient};
use knapweedrill_wire::PacketSocket;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};

use super::common::{
    BATCH_EVENT_COUNT, IDLE_TICK, Process, TICK, start_traffic, unix_ms, wait_for_events,
};
use super::http::{serve, serve_metrics};
use super::metrics::{LEVELS_EVERY, Metrics};
use super::sidecar_http::{carry_orders, register};
use super::store::tell_places;

/// What happens to a sidecar.
pub(super) enum SidecarEvent {
    /// A heartbeat of the minion came.
    Reported(MinionHeartbeat, oneshot::Sender<()>),
    /// The minion says that it ends.
    Left(String, oneshot::Sender<()>),
    /// An order to start was answered.
    StartAnswered(CallNumber, OrderAnswer, Option<StampMs>),
    /// An order to stop was answered.
    StopAnswered(CallNumber, OrderAnswer, Option<StampMs>),
    /// A hold was answered, or was not.
    HoldAnswered(CallNumber, Option<HoldAnswer>),
    /// A datagram came.
    Datagram(SocketAddr, Packet),
    /// The store has confirmed where this sidecar is.
    Confirmed(SidecarRecord),
}

/// Runs a sidecar until it is told to stop.
pub(super) fn run(process: Process) -> eyre::Result<()> {
    let (sender, events) = channel::unbounded();
    let datagrams = sender.clone();
    let socket = PacketSocket::start(process.address(), move |from, packet| {
        // After the end of the state nobody needs the datagram.
        let _ = datagrams.send(SidecarEvent::Datagram(from, packet));
    })?;
    let (orders, ordered) = mpsc::unbounded_channel();
    let settings = process.settings.clone();
    let metrics = Metrics::new()?;
    let served = metrics.clone();
    let (place, places) = watch::channel(None);
    start_traffic(move || traffic(settings, ordered, places, served, sender))?;
    let settings = SidecarSettings::new(process.run_timing(), process.settings.lease_max);
    let sidecar = Sidecar::new(settings, unix_ms());
    let vm = process.settings.name.clone();
    let mut endpoint = SidecarEndpoint::new(sidecar, process.sessions(), vm, process.address());
    endpoint.set_seeds(process.seeds().collect());
    let control = Control {
        endpoint,
        socket,
        orders,
        place,
        metrics,
    };
    control.run(process, &events);
    Ok(())
}

async fn traffic(
    settings: ProcessSettings,
    orders: UnboundedReceiver<SidecarAction>,
    places: watch::Receiver<Option<SidecarRecord>>,
    metrics: Metrics,
    events: Sender<SidecarEvent>,
) -> eyre::Result<()> {
    tokio::spawn(serve_metrics(settings.ip, metrics.clone()));
    let store = Arc::new(StoreClient::new(settings.store_address));
    let sender = events.clone();
    let on_confirmed = move |place| {
        // After the end of the state nobody needs the news.
        let _ = sender.send(SidecarEvent::Confirmed(place));
    };
    tokio::spawn(tell_places(store, places, on_confirmed));
    let minion_address = settings
        .minion_address
        .ok_or_else(|| eyre::eyre!("the settings name no minion"))?;
    let minion = MinionClient::new(minion_address);
    tokio::spawn(carry_orders(minion, orders, metrics, events.clone()));
    let address = settings
        .registration_address
        .ok_or_else(|| eyre::eyre!("the settings name no address at which minions register"))?;
    serve(address, move |request| register(events.clone(), request)).await
}

/// The control state of the process.
struct Control {
    endpoint: SidecarEndpoint,
    socket: PacketSocket,
    orders: UnboundedSender<SidecarAction>,
    /// Where this sidecar is, for the store.
    place: watch::Sender<Option<SidecarRecord>>,
    metrics: Metrics,
}

impl Control {
    fn run(mut self, mut process: Process, events: &Receiver<SidecarEvent>) {
        let mut next_tick = Instant::now();
        let mut next_levels = next_tick;
        loop {
            match events.recv_timeout(wait_for_events(next_tick, self.endpoint.next_session_due()))
            {
                Ok(event) => {
                    let now = Instant::now();
                    // The event may bring the first work.
                    next_tick = next_tick.min(now + TICK);
                    // Time-outs come first: after a pause of the process they may be long due.
                    self.endpoint.sidecar_mut().tick(now);
                    self.handle(event, now);
                    for event in events.try_iter().take(BATCH_EVENT_COUNT) {
                        self.handle(event, now);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = Instant::now();
            self.endpoint.sidecar_mut().tick(now);
            if now >= next_tick {
                let is_idle = self.endpoint.sidecar().is_idle();
                next_tick = now + if is_idle { IDLE_TICK } else { TICK };
                let seeds = process.reload(now);
                if !seeds.is_empty() {
                    self.endpoint.set_seeds(seeds);
                }
                self.publish_place();
            }
            if now >= next_levels {
                next_levels = now + LEVELS_EVERY;
                self.publish_levels();
            }
            self.flush(now);
            if process.stop.has_begun(now) {
                self.endpoint.sidecar_mut().leave();
            }
            if process
                .stop
                .is_over(self.endpoint.sidecar().run_count() > 0, now)
            {
                log::info!(runs = self.endpoint.sidecar().run_count(); "process stopped");
                return;
            }
        }
    }

    fn handle(&mut self, event: SidecarEvent, now: Instant) {
        match event {
            SidecarEvent::Reported(report, done) => {
                self.endpoint.sidecar_mut().heartbeat_received(report, now);
                // A minion that has hung up hears it with its next heartbeat, here and below.
                let _ = done.send(());
            }
            SidecarEvent::Left(instance, done) => {
                self.endpoint.sidecar_mut().minion_left(&instance, now);
                let _ = done.send(());
            }
            SidecarEvent::StartAnswered(call, answer, clock_ms) => {
                self.endpoint
                    .sidecar_mut()
                    .start_answered(call, answer, clock_ms, now);
            }
            SidecarEvent::StopAnswered(call, answer, clock_ms) => {
                self.endpoint
                    .sidecar_mut()
                    .stop_answered(call, answer, clock_ms, now);
            }
            SidecarEvent::HoldAnswered(call, answer) => {
                self.endpoint.sidecar_mut().hold_answered(call, answer, now);
            }
            SidecarEvent::Datagram(from, packet) => self.endpoint.receive(from, packet, now),
            SidecarEvent::Confirmed(place) => self.endpoint.place_confirmed(place),
        }
    }

    /// Has the store told where this sidecar is, if that has changed.
    fn publish_place(&self) {
        let place = self.endpoint.place();
        let has_changed = place.is_some() && *self.place.borrow() != place;
        if has_changed {
            self.place.send_replace(place);
        }
    }

    /// Publishes the levels of the process.
    fn publish_levels(&self) {
        let sidecar = self.endpoint.sidecar();
        let status = sidecar.status();
        let levels = [
            ("runs", sidecar.run_count() as u64),
            ("free_millicores", u64::from(status.free.cpu_millicores)),
            ("free_memory_mib", u64::from(status.free.memory_mib)),
            ("pace_permille", u64::from(status.pace_permille)),
            ("delay_ms", u64::from(status.delay_ms)),
            (
                "takes_tasks",
                u64::from(status.availability != MinionAvailability::Unavailable),
            ),
            (
                "suspect",
                u64::from(status.availability == MinionAvailability::Suspect),
            ),
        ];
        for (name, value) in levels {
            self.metrics.set_level(name, value);
        }
    }

    fn flush(&mut self, now: Instant) {
        let outgoing = self.endpoint.poll(now);
        for order in outgoing.orders {
            // Without the traffic thread the process is about to end.
            drop(self.orders.send(order));
        }
        for (to, packet) in outgoing.datagrams {
            self.socket.send(to, &packet);
        }
    }
}
