//! The methods that the interface serves.

use knapweedrill::api::Method;

/// The methods, as the header `Allow` lists them.
pub(super) const ALLOWED: &str = "GET, HEAD, POST, DELETE";

/// Returns the method of a request, if the interface serves it; `HEAD` is served as `GET`.
pub(super) fn method_of(method: &tiny_http::Method) -> Option<Method> {
    match method {
        tiny_http::Method::Get | tiny_http::Method::Head => Some(Method::Get),
        tiny_http::Method::Post => Some(Method::Post),
        tiny_http::Method::Delete => Some(Method::Delete),
        _ => None,
    }
}
