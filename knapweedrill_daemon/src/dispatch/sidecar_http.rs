//! HTTP between a sidecar and its minion: registration calls in one direction, orders in the other.

use std::net::IpAddr;
use std::sync::Arc;

use crossbeam::channel::Sender;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use knapweedrill::dispatch::sidecar::{HoldFailure, SidecarAction};
use knapweedrill_platform::{MinionClient, Registration, parse_registration};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{Semaphore, oneshot};

use super::client_limits::ClientConnection;
use super::http::{FullResponse, json_response, memory_refusal, read_body};
use super::metrics::{Metrics, order_answer_label};
use super::process_clock::ProcessClock;
use super::sidecar::SidecarEvent;

/// The maximum size of a heartbeat, in bytes.
const HEARTBEAT_BYTES_MAX: usize = 65_536;

/// The maximum number of orders in flight. Each needs a connection, and the minion responds within
/// a millisecond, so more would only open connections that are seldom reused.
const ORDERS_IN_FLIGHT_MAX: usize = 6;

/// Handles a registration call of the minion at `minion_ip`. `own_domain` is the failure domain of this
/// VM.
pub(super) async fn handle_registration(
    events: Sender<SidecarEvent>,
    minion_ip: IpAddr,
    own_domain: Arc<str>,
    client: ClientConnection,
    request: Request<Incoming>,
) -> FullResponse {
    // The head itself would keep the buffer alive that it was read into.
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let body = match read_body(&client, request.into_body(), HEARTBEAT_BYTES_MAX).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let Some(registration) = parse_registration(&method, &path, &body, minion_ip, &own_domain)
    else {
        return json_response(StatusCode::BAD_REQUEST, String::new());
    };
    // A heartbeat is held until it is handled; its labels are no larger than its text.
    if client.begin_answer(body.capacity() as u64).await.is_err() {
        return memory_refusal();
    }
    let (handled, is_handled) = oneshot::channel();
    let event = match registration {
        Registration::Heartbeat(heartbeat) => SidecarEvent::Heartbeat(heartbeat, handled),
        Registration::Deregistration(instance) => SidecarEvent::MinionLeft(instance, handled),
    };
    // The response is sent once the event loop has handled the call.
    let is_handled = events.send(event).is_ok() && is_handled.await.is_ok();
    match is_handled {
        true => json_response(StatusCode::OK, "{}".to_owned()),
        false => json_response(StatusCode::SERVICE_UNAVAILABLE, String::new()),
    }
}

/// Sends orders to the minion, each in an async task of its own, and reports the results as events.
pub(super) async fn send_orders(
    minion: MinionClient,
    mut orders: UnboundedReceiver<SidecarAction>,
    clock: ProcessClock,
    metrics: Metrics,
    events: Sender<SidecarEvent>,
) {
    let minion = Arc::new(minion);
    let permits = Arc::new(Semaphore::new(ORDERS_IN_FLIGHT_MAX));
    while let Some(order) = orders.recv().await {
        let (minion, permits) = (Arc::clone(&minion), Arc::clone(&permits));
        let (metrics, events) = (metrics.clone(), events.clone());
        tokio::spawn(async move {
            if let Some(event) = send_order(&minion, &permits, clock, &metrics, order).await {
                // The event loop has ended if this fails, and needs no results.
                let _ = events.send(event);
            }
        });
    }
}

async fn send_order(
    minion: &MinionClient,
    permits: &Semaphore,
    clock: ProcessClock,
    metrics: &Metrics,
    order: SidecarAction,
) -> Option<SidecarEvent> {
    match order {
        SidecarAction::Start(call) => {
            let _permit = permits.acquire().await.ok()?;
            let may_send = || clock.now() <= call.send_until;
            let (answer, clock_ms) = minion.start(&call, &may_send).await;
            metrics.count_minion_call("start", order_answer_label(&answer));
            Some(SidecarEvent::StartAnswered(call.call, answer, clock_ms))
        }
        SidecarAction::Stop(call) => {
            let _permit = permits.acquire().await.ok()?;
            let (answer, clock_ms) = minion.stop(&call).await;
            metrics.count_minion_call("stop", order_answer_label(&answer));
            Some(SidecarEvent::StopAnswered(call.call, answer, clock_ms))
        }
        SidecarAction::Hold(call) => {
            let answer = minion.hold(&call).await;
            let label = match answer {
                Ok(_) => "accepted",
                Err(HoldFailure::Refused) => "refused",
                Err(HoldFailure::NotSent) => "not-sent",
                Err(HoldFailure::OtherIncarnation) => "other-life",
                Err(HoldFailure::NoAnswer) => "none",
                Err(HoldFailure::Fenced) => "fenced",
            };
            metrics.count_minion_call("hold", label);
            Some(SidecarEvent::HoldAnswered(call.call, answer))
        }
        SidecarAction::Send(..) => None,
    }
}
