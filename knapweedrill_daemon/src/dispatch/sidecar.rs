//! The sidecar process: threads, event loop and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use knapweedrill::dispatch::message::{MinionAvailability, StampMs};
use knapweedrill::dispatch::sidecar::{
    CallNumber, HoldAnswer, HoldFailure, KnownMinion, MinionHeartbeat, OrderAnswer, Sidecar,
    SidecarAction, SidecarEndpoint, SidecarSettings, StoredRecord, first_fencing_token,
};
use knapweedrill::dispatch::{Packet, SidecarRecord};
use knapweedrill_platform::{MinionClient, ProcessSettings, StoreClient};
use knapweedrill_wire::PacketSocket;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};

use super::client_limits::{BudgetLimits, ClientGate, PortKind};
use super::http::{serve, serve_metrics};
use super::metrics::{GAUGE_UPDATE_INTERVAL, Metrics};
use super::process::{
    EVENT_BATCH_COUNT_MAX, IDLE_TICK_INTERVAL, Process, TICK_INTERVAL, event_timeout,
    spawn_traffic_thread,
};
use super::process_clock::{ProcessClock, time_since_boot};
use super::sidecar_http::{handle_registration, send_orders};
use super::store::{publish_sidecar_records, read_known_minion};

/// An event for the event loop of a sidecar.
pub(super) enum SidecarEvent {
    /// An earlier process on this VM has recorded this minion.
    MinionRestored(KnownMinion),
    /// The minion sent a heartbeat; the channel confirms that it was handled.
    Heartbeat(MinionHeartbeat, oneshot::Sender<()>),
    /// The minion with this instance name exits; the channel confirms that it was handled.
    MinionLeft(String, oneshot::Sender<()>),
    /// A start order has a result; the last value is the clock of the minion.
    StartAnswered(CallNumber, OrderAnswer, Option<StampMs>),
    /// A stop order has a result; the last value is the clock of the minion.
    StopAnswered(CallNumber, OrderAnswer, Option<StampMs>),
    /// A hold has a response, or failed.
    HoldAnswered(CallNumber, Result<HoldAnswer, HoldFailure>),
    /// A datagram arrived.
    Datagram(SocketAddr, Packet),
    /// The store has confirmed this record of the sidecar.
    RecordConfirmed(SidecarRecord),
}

/// Runs a sidecar until it is asked to stop.
pub(super) fn run(process: Process) -> eyre::Result<()> {
    let (sender, events) = channel::unbounded();
    let datagrams = sender.clone();
    let socket = PacketSocket::start(process.address(), move |from, packet| {
        // The event loop has ended if this fails, and needs no datagrams.
        let _ = datagrams.send(SidecarEvent::Datagram(from, packet));
    })?;
    let (orders, queued_orders) = mpsc::unbounded_channel();
    let settings = process.settings.clone();
    let clock = process.clock;
    let metrics = Metrics::new()?;
    let traffic_metrics = metrics.clone();
    let (record, records) = watch::channel(None);
    spawn_traffic_thread(move || {
        run_traffic(
            settings,
            clock,
            queued_orders,
            records,
            traffic_metrics,
            sender,
        )
    })?;
    let settings = SidecarSettings::new(process.run_timing(), process.settings.lease_max);
    let sidecar = Sidecar::new(
        settings,
        first_fencing_token(time_since_boot(), rand::random()),
    );
    let vm = process.settings.name.clone();
    let mut endpoint = SidecarEndpoint::new(sidecar, process.sessions(), vm, process.address());
    endpoint.set_seeds(process.seeds().collect());
    let event_loop = EventLoop {
        endpoint,
        socket,
        orders,
        record,
        metrics,
    };
    event_loop.run(process, &events);
    Ok(())
}

/// Runs the HTTP servers and clients of a sidecar on the traffic thread.
async fn run_traffic(
    settings: ProcessSettings,
    clock: ProcessClock,
    orders: UnboundedReceiver<SidecarAction>,
    records: watch::Receiver<Option<StoredRecord>>,
    metrics: Metrics,
    events: Sender<SidecarEvent>,
) -> eyre::Result<()> {
    let gate = ClientGate::new(BudgetLimits::for_machine(
        settings.memory_bytes,
        settings.descriptor_count_max,
    ));
    tokio::spawn(gate.clone().watch(metrics.clone()));
    tokio::spawn(serve_metrics(settings.ip, gate.clone(), metrics.clone()));
    let store = Arc::new(StoreClient::new(settings.store_address));
    let sender = events.clone();
    let on_confirmed = move |record| {
        // The event loop has ended if this fails, and needs no events.
        let _ = sender.send(SidecarEvent::RecordConfirmed(record));
    };
    tokio::spawn(publish_sidecar_records(
        Arc::clone(&store),
        records,
        on_confirmed,
    ));
    let sender = events.clone();
    tokio::spawn(async move {
        if let Some(known) = read_known_minion(store, &settings.name).await {
            let _ = sender.send(SidecarEvent::MinionRestored(known));
        }
    });
    let minion_address = settings.minion_address.ok_or_else(|| {
        eyre::eyre!("the settings have no minion address (app), which a sidecar needs")
    })?;
    let minion = MinionClient::new(minion_address);
    tokio::spawn(send_orders(minion, orders, clock, metrics, events.clone()));
    let address = settings.registration_address.ok_or_else(|| {
        eyre::eyre!(
            "the settings have no registration address (Listen.Control), which a sidecar needs"
        )
    })?;
    let own_domain: Arc<str> = settings.failure_domain.into();
    serve(address, PortKind::Traffic, gate, move |client, request| {
        let own_domain = Arc::clone(&own_domain);
        let minion_ip = minion_address.ip();
        handle_registration(events.clone(), minion_ip, own_domain, client, request)
    })
    .await
}

/// The state of the process and its event loop.
struct EventLoop {
    endpoint: SidecarEndpoint,
    socket: PacketSocket,
    orders: UnboundedSender<SidecarAction>,
    /// The record of this sidecar that is to be written to the store.
    record: watch::Sender<Option<StoredRecord>>,
    metrics: Metrics,
}

impl EventLoop {
    fn run(mut self, mut process: Process, events: &Receiver<SidecarEvent>) {
        let clock = process.clock;
        let mut next_tick = clock.now();
        let mut next_gauge_update = next_tick;
        loop {
            let timeout = event_timeout(next_tick, self.endpoint.next_session_due(), clock.now());
            match events.recv_timeout(timeout) {
                Ok(event) => {
                    // The event may end an idle phase, in which ticks are rare.
                    next_tick = next_tick.min(clock.now() + TICK_INTERVAL);
                    self.handle(event, clock.now());
                    for event in events.try_iter().take(EVENT_BATCH_COUNT_MAX) {
                        // An older reading would make orders look fresh that arrived after it.
                        self.handle(event, clock.now());
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = clock.now();
            self.endpoint.sidecar_mut().tick(now);
            if now >= next_tick {
                let is_idle = self.endpoint.sidecar().is_idle();
                next_tick = now
                    + if is_idle {
                        IDLE_TICK_INTERVAL
                    } else {
                        TICK_INTERVAL
                    };
                let seeds = process.reload_settings(now);
                if !seeds.is_empty() {
                    self.endpoint.set_seeds(seeds);
                }
                self.publish_record();
            }
            if now >= next_gauge_update {
                next_gauge_update = now + GAUGE_UPDATE_INTERVAL;
                self.update_gauges();
            }
            self.flush(now);
            if process.signals.take_stop_request(now) {
                self.endpoint.sidecar_mut().begin_drain();
            }
            if process
                .signals
                .should_exit(self.endpoint.sidecar().run_count() > 0, now)
            {
                log::info!(runs = self.endpoint.sidecar().run_count(); "process stopped");
                return;
            }
        }
    }

    fn handle(&mut self, event: SidecarEvent, now: Instant) {
        // Timeouts may be overdue after a pause of the process.
        self.endpoint.sidecar_mut().tick(now);
        match event {
            SidecarEvent::MinionRestored(known) => {
                self.endpoint.sidecar_mut().restore_minion(known, now);
            }
            SidecarEvent::Heartbeat(heartbeat, handled) => {
                self.endpoint
                    .sidecar_mut()
                    .heartbeat_received(heartbeat, now);
                // A minion that has disconnected gets a response to its next heartbeat instead, here
                // and below.
                let _ = handled.send(());
            }
            SidecarEvent::MinionLeft(instance, handled) => {
                self.endpoint.sidecar_mut().minion_left(&instance, now);
                let _ = handled.send(());
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
                let sidecar = self.endpoint.sidecar_mut();
                match answer {
                    Ok(answer) => sidecar.hold_answered(call, Some(answer), now),
                    Err(failure) => sidecar.hold_failed(call, failure, now),
                }
            }
            SidecarEvent::Datagram(from, packet) => self.endpoint.receive(from, packet, now),
            SidecarEvent::RecordConfirmed(record) => self.endpoint.sidecar_record_confirmed(record),
        }
    }

    /// Passes the record of this sidecar to the traffic thread, if it has changed.
    fn publish_record(&self) {
        let record = self.endpoint.stored_record();
        let has_changed = record.is_some() && *self.record.borrow() != record;
        if has_changed {
            self.record.send_replace(record);
        }
    }

    /// Updates the gauges.
    fn update_gauges(&self) {
        let sidecar = self.endpoint.sidecar();
        let status = sidecar.status();
        let gauges = [
            ("runs", sidecar.run_count() as u64),
            ("free_millicores", u64::from(status.free.cpu_millicores)),
            ("free_memory_mib", u64::from(status.free.memory_mib)),
            ("pace_permille", u64::from(status.pace_permille)),
            ("delay_ms", u64::from(status.delay_ms)),
            ("clock_lead_ms", sidecar.clock_lead().as_millis() as u64),
            ("false_reports", sidecar.false_report_count()),
            ("takes_tasks", u64::from(status.availability.takes_tasks())),
            (
                "evacuated",
                u64::from(status.availability == MinionAvailability::Evacuated),
            ),
            ("evacuation_refusals", sidecar.evacuation_refusal_count()),
            (
                "suspect",
                u64::from(status.availability == MinionAvailability::Suspect),
            ),
        ];
        for (name, value) in gauges {
            self.metrics.set_gauge(name, value);
        }
    }

    /// Passes orders to the traffic thread and sends datagrams.
    fn flush(&mut self, now: Instant) {
        let outgoing = self.endpoint.poll(now);
        for order in outgoing.orders {
            // If this fails, the traffic thread has failed and the process is about to exit.
            drop(self.orders.send(order));
        }
        for (to, packet) in outgoing.datagrams {
            self.socket.send(to, &packet);
        }
    }
}
