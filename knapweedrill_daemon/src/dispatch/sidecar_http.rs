//! The calls of a minion at its sidecar, and the orders to it.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use knapweedrill::dispatch::sidecar::SidecarAction;
use knapweedrill_platform::{MinionClient, Registration, parse_registration};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{Semaphore, oneshot};

use super::http::{WholeResponse, read_body, response};
use super::metrics::{Metrics, order_answer_name};
use super::sidecar::SidecarEvent;

/// The largest heartbeat that is read, in bytes.
const HEARTBEAT_BYTES_MAX: usize = 65_536;

/// How long a minion has to answer an order. It is on the same machine and answers in
/// milliseconds. A repeated order does no harm, while an urgent task has under 100 ms to wait.
const ORDER_TIMEOUT: Duration = Duration::from_millis(40);

/// How long a minion has to answer a hold, beside the time that it may wait. Half as long again as
/// for an order, since the answer may list hundreds of ends.
const HOLD_TIMEOUT: Duration = Duration::from_millis(60);

/// How many orders are under way at the same time. Each needs a connection, and the minion answers
/// in a millisecond, so that more would only open connections that are seldom used again.
const ORDER_COUNT_MAX: usize = 6;

/// Takes in a call of the minion.
pub(super) async fn register(
    events: Sender<SidecarEvent>,
    request: Request<Incoming>,
) -> WholeResponse {
    let (head, body) = request.into_parts();
    let body = match read_body(body, HEARTBEAT_BYTES_MAX).await {
        Ok(body) => body,
        Err(status) => return response(status, String::new()),
    };
    let Some(registration) = parse_registration(&head.method, head.uri.path(), &body) else {
        return response(StatusCode::BAD_REQUEST, String::new());
    };
    let (done, is_done) = oneshot::channel();
    let event = match registration {
        Registration::Heartbeat(report) => SidecarEvent::Reported(report, done),
        Registration::Deregistration(instance) => SidecarEvent::Left(instance, done),
    };
    // The minion is answered once the state has taken the call in.
    let is_taken = events.send(event).is_ok() && is_done.await.is_ok();
    match is_taken {
        true => response(StatusCode::OK, "{}".to_owned()),
        false => response(StatusCode::SERVICE_UNAVAILABLE, String::new()),
    }
}

/// Carries orders to the minion, each as a task of its own.
pub(super) async fn carry_orders(
    minion: MinionClient,
    mut orders: UnboundedReceiver<SidecarAction>,
    metrics: Metrics,
    events: Sender<SidecarEvent>,
) {
    let minion = Arc::new(minion);
    let places = Arc::new(Semaphore::new(ORDER_COUNT_MAX));
    while let Some(order) = orders.recv().await {
        let (minion, places) = (Arc::clone(&minion), Arc::clone(&places));
        let (metrics, events) = (metrics.clone(), events.clone());
        tokio::spawn(async move {
            if let Some(event) = carry(&minion, &places, &metrics, order).await {
                // After the end of the state nobody needs the answer.
                let _ = events.send(event);
            }
        });
    }
}

async fn carry(
    minion: &MinionClient,
    places: &Semaphore,
    metrics: &Metrics,
    order: SidecarAction,
) -> Option<SidecarEvent> {
    match order {
        SidecarAction::Start(call) => {
            let _place = places.acquire().await.ok()?;
            let (answer, clock_ms) = minion.start(&call, ORDER_TIMEOUT).await;
            metrics.count_minion_call("start", order_answer_name(&answer));
            Some(SidecarEvent::StartAnswered(call.call, answer, clock_ms))
        }
        SidecarAction::Stop(call) => {
            let _place = places.acquire().await.ok()?;
            let (answer, clock_ms) = minion.stop(&call, ORDER_TIMEOUT).await;
            metrics.count_minion_call("stop", order_answer_name(&answer));
            Some(SidecarEvent::StopAnswered(call.call, answer, clock_ms))
        }
        SidecarAction::Hold(call) => {
            let answer = minion.hold(&call, HOLD_TIMEOUT).await;
            let name = if answer.is_some() { "accepted" } else { "none" };
            metrics.count_minion_call("hold", name);
            Some(SidecarEvent::HoldAnswered(call.call, answer))
        }
        SidecarAction::Send(..) => None,
    }
}
