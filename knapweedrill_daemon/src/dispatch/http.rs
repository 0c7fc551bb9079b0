//! HTTP server for callers, minions, readiness probes and metrics.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use eyre::WrapErr;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{Instant, timeout, timeout_at};

use super::client_limits::{ClientConnection, ClientGate, MemoryRefusal, PortKind};
use super::metrics::{METRICS_PATH, METRICS_PORT, Metrics};
use super::shared_stream::SharedStream;

/// The timeout for the header of a request, including the idle time of the connection before it. It
/// is longer than the pauses of callers, which keep their connections open.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(75);

/// The timeout for the body of a request.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum size of the header of a request, in bytes.
const HEADER_BYTES_MAX: usize = 16_384;

/// The pause after a failed accept, in which file descriptors may be released.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long an answered connection is kept open for a client that still sends.
const DISCARD_TIMEOUT: Duration = BODY_READ_TIMEOUT;

/// The maximum number of bytes that are received and discarded after the last response of a connection.
const DISCARD_BYTES_MAX: usize = 1 << 20;

/// The capacity of the buffer of a body at first, in bytes: that of an ordinary request.
const FIRST_BODY_CAPACITY_BYTES: usize = 4_096;

/// When a client that was refused for lack of memory may retry at the latest, in seconds. Most unfinished
/// requests have ended by then.
const MEMORY_RETRY_AFTER_MAX_S: u64 = 3;

/// A response whose whole body is in memory.
pub(super) type FullResponse = Response<Full<Bytes>>;

/// Serves requests at an address, with one handler for all connections, within the limits of `gate`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(super) async fn serve<H, F>(
    address: SocketAddr,
    port: PortKind,
    gate: ClientGate,
    handler: H,
) -> eyre::Result<()>
where
    H: Fn(ClientConnection, Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    serve_connections(address, port, gate, move || handler.clone()).await
}

/// Serves requests at an address, within the limits of `gate`. `accept` creates the handler of each
/// connection. The future of a handler is dropped when its caller disconnects, also while further
/// requests of the caller wait on the connection.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(super) async fn serve_connections<A, H, F>(
    address: SocketAddr,
    port: PortKind,
    gate: ClientGate,
    accept: A,
) -> eyre::Result<()>
where
    A: Fn() -> H,
    H: Fn(ClientConnection, Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    let limits = gate.limits();
    let backlog_count = limits.backlog_count(port);
    let listener = listen(
        address,
        backlog_count,
        limits.waiting_receive_buffer_bytes(),
    )
    .wrap_err_with(|| format!("can't listen for HTTP at {address}"))?;
    let receive_buffer_bytes = limits.receive_buffer_bytes() as usize;
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(error:% = error; "can't accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(client) = gate.accept(peer.ip()).await else {
            continue;
        };
        // With Nagle's algorithm the end of a response may wait for an acknowledgement. A failure
        // to disable it only delays responses.
        let _ = stream.set_nodelay(true);
        // A failure leaves the smaller buffer, with which the client sends more slowly.
        let _ = SockRef::from(&stream).set_recv_buffer_size(receive_buffer_bytes);
        let stream = SharedStream::new(stream, client.clone());
        let handler = accept();
        tokio::spawn(serve_connection(stream, client, handler));
    }
}

/// Listens with a bounded number of connections that wait to be accepted, and a bounded receive buffer
/// for each: what is received and not yet read is memory of this process on some machines.
fn listen(
    address: SocketAddr,
    backlog_count: u32,
    receive_buffer_bytes: u32,
) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Connections have it until they are accepted.
    socket.set_recv_buffer_size(receive_buffer_bytes)?;
    socket.bind(address)?;
    socket.listen(backlog_count)
}

/// Serves the requests of a connection until it ends or has to be closed.
async fn serve_connection<H, F>(stream: SharedStream, client: ClientConnection, handler: H)
where
    H: Fn(ClientConnection, Request<Incoming>) -> F,
    F: Future<Output = FullResponse>,
{
    let requests = client.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        requests.end_head(request.body().size_hint().lower());
        let response = handler(requests.clone(), request);
        let client = requests.clone();
        async move { Ok::<_, Infallible>(within_memory(response.await, &client)) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(HEADER_BYTES_MAX.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream.clone()), service);
    // The HTTP library does not read the stream, and so does not see its end, while it has
    // bytes of the next request. What can be answered at once is answered first.
    let is_answered = tokio::select! {
        biased;
        () = client.closed() => {
            log::debug!("connection closed for its use of memory");
            false
        }
        result = connection => match result {
            Ok(()) => true,
            Err(error) => {
                log::debug!(error:% = error; "connection ended");
                // A head that is not HTTP has got a response.
                error.is_parse()
            }
        },
        () = stream.read_closed() => {
            log::debug!("connection closed by the peer");
            false
        }
    };
    if is_answered {
        discard_rest(&stream, &client).await;
    }
}

/// Discards what a client still sends after its last response. Closing a connection with unread data
/// resets it, and the client may then lose the response. Such a connection counts as idle, so it is closed
/// when others need it.
async fn discard_rest(stream: &SharedStream, client: &ClientConnection) {
    client.end_answer(0);
    tokio::select! {
        () = client.closed() => log::debug!("connection closed while its client still sends"),
        result = timeout(DISCARD_TIMEOUT, stream.discard(DISCARD_BYTES_MAX)) => match result {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::debug!(error:% = error; "connection ended after its last response"),
            Err(_) => log::debug!("connection closed, as its client does not end it"),
        },
    }
}

/// Returns the response if there is memory for its body, or else a refusal.
fn within_memory(response: FullResponse, client: &ClientConnection) -> FullResponse {
    let bytes = response.body().size_hint().lower();
    match client.end_answer(bytes) {
        true => response,
        false => memory_refusal(),
    }
}

/// The minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Reads the body of a request into one buffer, whose capacity is charged to the memory budget.
///
/// # Errors
///
/// Fails with the response if the body is too large, too slow or incomplete, or if there is no memory
/// for it. The connection is closed after that response.
pub(super) async fn read_body(
    client: &ClientConnection,
    body: Incoming,
    bytes_max: usize,
) -> Result<Vec<u8>, FullResponse> {
    let deadline = Instant::now() + BODY_READ_TIMEOUT;
    match timeout_at(deadline, read_whole_body(client, body, bytes_max)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyFailure::Status(status))) => Err(closing_response(status)),
        Ok(Err(BodyFailure::Memory)) => Err(memory_refusal()),
        Err(_) => Err(closing_response(StatusCode::REQUEST_TIMEOUT)),
    }
}

/// Why a body could not be read.
enum BodyFailure {
    /// The request is answered with this status.
    Status(StatusCode),
    /// There is no memory for it.
    Memory,
}

impl From<MemoryRefusal> for BodyFailure {
    fn from(MemoryRefusal: MemoryRefusal) -> Self {
        Self::Memory
    }
}

async fn read_whole_body(
    client: &ClientConnection,
    mut body: Incoming,
    bytes_max: usize,
) -> Result<Vec<u8>, BodyFailure> {
    let too_large = || BodyFailure::Status(StatusCode::PAYLOAD_TOO_LARGE);
    let declared_bytes = body.size_hint().exact();
    // A body that the header declares too large, or for which there is no memory, is not read.
    let declared_bytes = match declared_bytes {
        Some(bytes) if bytes > bytes_max as u64 => return Err(too_large()),
        Some(bytes) => {
            client.admit_body(bytes).await?;
            Some(bytes as usize)
        }
        None => None,
    };
    let capacity_max = declared_bytes.unwrap_or(bytes_max);
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFailure::Status(StatusCode::BAD_REQUEST))?;
        client.receive_frame();
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let length = buffer.len() + data.len();
        if length > bytes_max {
            return Err(too_large());
        }
        if length > buffer.capacity() {
            let doubled = (2 * buffer.capacity()).max(FIRST_BODY_CAPACITY_BYTES);
            let capacity = doubled.min(capacity_max).max(length);
            client.hold(capacity as u64).await?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(data);
    }
    Ok(buffer)
}

/// Returns the response to a request for which there is no memory. It has not been carried out.
pub(super) fn memory_refusal() -> FullResponse {
    let mut response = closing_response(StatusCode::SERVICE_UNAVAILABLE);
    // Clients that were refused together should not return together.
    let retry_after_s = rand::random_range(1..=MEMORY_RETRY_AFTER_MAX_S);
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(retry_after_s));
    response
}

/// Returns an empty response after which the connection is closed.
fn closing_response(status: StatusCode) -> FullResponse {
    let mut response = json_response(status, String::new());
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Returns a response with a body of JSON, or an empty one.
pub(super) fn json_response(status: StatusCode, body: String) -> FullResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Serves the metrics of a process. A failure is logged and does not stop the process.
pub(super) async fn serve_metrics(ip: IpAddr, gate: ClientGate, metrics: Metrics) {
    let address = SocketAddr::new(ip, METRICS_PORT);
    let served = serve(address, PortKind::Other, gate, move |_, request| {
        let (status, body) = match request.uri().path() {
            METRICS_PATH => (StatusCode::OK, metrics.encode()),
            _ => (StatusCode::NOT_FOUND, String::new()),
        };
        let mut response = json_response(status, body);
        let content_type = hyper::header::HeaderValue::from_static("text/plain; version=0.0.4");
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, content_type);
        std::future::ready(response)
    });
    if let Err(error) = served.await {
        log::error!(error:? = error; "can't serve metrics");
    }
}
