//! The result of a call on a checked connection.

use super::http_client::HttpResponse;

/// The result of a call on a checked connection.
#[derive(Debug, Clone)]
pub enum CheckedResponse {
    /// The response to the request.
    Response(HttpResponse),
    /// The response to the check. It does not come from the expected process, so the request was not
    /// sent.
    OtherProcess(HttpResponse),
    /// The check has got no response in time, so the request was not sent.
    Unchecked,
    /// The request may no longer be sent, and was not.
    Withheld,
}
