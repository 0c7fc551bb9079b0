//! HTTP server for callers, minions, readiness probes and metrics.

use std::convert::Infallible;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use eyre::WrapErr;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

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

/// A response whose whole body is in memory.
pub(super) type FullResponse = Response<Full<Bytes>>;

/// Serves requests at an address, with one handler for all connections.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(super) async fn serve<H, F>(address: SocketAddr, handler: H) -> eyre::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    serve_connections(address, move || handler.clone()).await
}

/// Serves requests at an address. `accept` creates the handler of each connection. The future of a
/// handler is dropped when its caller disconnects, also while further requests of the caller wait on
/// the connection.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(super) async fn serve_connections<A, H, F>(address: SocketAddr, accept: A) -> eyre::Result<()>
where
    A: Fn() -> H,
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("can't listen for HTTP at {address}"))?;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "can't accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // With Nagle's algorithm the end of a response may wait for an acknowledgement. A failure
        // to disable it only delays responses.
        let _ = stream.set_nodelay(true);
        let stream = SharedStream::new(stream);
        let handler = accept();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .max_buf_size(HEADER_BYTES_MAX.max(MIN_BUFFER_BYTES))
                .serve_connection(TokioIo::new(stream.clone()), service);
            // The HTTP library does not read the stream, and so does not see its end, while it has
            // bytes of the next request. What can be answered at once is answered first.
            tokio::select! {
                biased;
                result = connection => if let Err(error) = result {
                    log::debug!(error:% = error; "connection ended");
                },
                () = stream.read_closed() => log::debug!("connection closed by the peer"),
            }
        });
    }
}

/// The minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Reads the body of a request.
///
/// # Errors
///
/// Fails with the status of the response if the body is too large, too slow or incomplete.
pub(super) async fn read_body(body: Incoming, bytes_max: usize) -> Result<Bytes, StatusCode> {
    if body.size_hint().lower() > bytes_max as u64 {
        // The header already announces a body that is too large, so it is not read.
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let limited = Limited::new(body, bytes_max).collect();
    match tokio::time::timeout(BODY_READ_TIMEOUT, limited).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
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
pub(super) async fn serve_metrics(ip: IpAddr, metrics: Metrics) {
    let address = SocketAddr::new(ip, METRICS_PORT);
    let served = serve(address, move |request| {
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
