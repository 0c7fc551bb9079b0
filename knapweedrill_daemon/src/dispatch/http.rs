//! The HTTP server of a process.

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

/// How long a connection may take to send the head of a request, idle time before it included.
/// Above the pauses of callers, which keep their connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(75);

/// How long the body of a request may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The longest head of a request, in bytes.
const HEAD_BYTES_MAX: usize = 16_384;

/// The pause after a failed accept, which lets descriptors become free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A response with its whole body.
pub(super) type WholeResponse = Response<Full<Bytes>>;

/// Serves requests at an address; a handler whose caller leaves is dropped.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(super) async fn serve<H, F>(address: SocketAddr, handler: H) -> eyre::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = WholeResponse> + Send + 'static,
{
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("can't listen for HTTP at {address}"))?;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Without it the end of an answer may wait for an acknowledgement; a failure only slows
        // the caller down.
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(HEAD_BYTES_MAX.max(MIN_BUFFER_BYTES))
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "connection ended");
            }
        });
    }
}

/// The smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Reads the body of a request.
///
/// # Errors
///
/// Fails with the status to answer if it is too large, too slow or cut off.
pub(super) async fn read_body(body: Incoming, bytes_max: usize) -> Result<Bytes, StatusCode> {
    if body.size_hint().lower() > bytes_max as u64 {
        // The head says so already; the body may never come.
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let whole = Limited::new(body, bytes_max).collect();
    match tokio::time::timeout(BODY_TIMEOUT, whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Returns a response with a body, of JSON if there is any.
pub(super) fn response(status: StatusCode, body: String) -> WholeResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// Serves the metrics of a process; without them it works on.
pub(super) async fn serve_metrics(ip: IpAddr, metrics: Metrics) {
    let address = SocketAddr::new(ip, METRICS_PORT);
    let served = serve(address, move |request| {
        let (status, text) = match request.uri().path() {
            METRICS_PATH => (StatusCode::OK, metrics.text()),
            _ => (StatusCode::NOT_FOUND, String::new()),
        };
        let mut response = response(status, text);
        let plain = hyper::header::HeaderValue::from_static("text/plain; version=0.0.4");
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, plain);
        std::future::ready(response)
    });
    if let Err(error) = served.await {
        log::error!(error:? = error; "metrics are not served");
    }
}
