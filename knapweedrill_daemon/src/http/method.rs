//! Supported HTTP methods.

use knapweedrill::api::Method;

/// The supported methods, as the value of the `Allow` header.
pub(super) const ALLOWED: &str = "GET, HEAD, POST, DELETE";

/// Returns the API method of an HTTP method, or `None` if it is not supported.
///
/// `HEAD` is treated as `GET`; the HTTP library leaves out the body of the response.
pub(super) fn method_of(method: &tiny_http::Method) -> Option<Method> {
    match method {
        tiny_http::Method::Get | tiny_http::Method::Head => Some(Method::Get),
        tiny_http::Method::Post => Some(Method::Post),
        tiny_http::Method::Delete => Some(Method::Delete),
        _ => None,
    }
}
