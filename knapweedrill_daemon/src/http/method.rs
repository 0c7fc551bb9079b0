//! The methods that the interface serves.

/// A method that the interface serves; `HEAD` is served as `GET`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Method {
    /// Reads.
    Get,
    /// Submits.
    Post,
    /// Replaces.
    Put,
    /// Cancels or removes.
    Delete,
}

impl Method {
    /// The methods, as the header `Allow` lists them.
    pub(super) const ALLOWED: &str = "GET, HEAD, POST, PUT, DELETE";

    /// Returns the method's name in a request.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
        }
    }

    /// Returns the method of a request, if the interface serves it.
    pub(super) fn of(method: &tiny_http::Method) -> Option<Self> {
        match method {
            tiny_http::Method::Get | tiny_http::Method::Head => Some(Self::Get),
            tiny_http::Method::Post => Some(Self::Post),
            tiny_http::Method::Put => Some(Self::Put),
            tiny_http::Method::Delete => Some(Self::Delete),
            _ => None,
        }
    }
}
