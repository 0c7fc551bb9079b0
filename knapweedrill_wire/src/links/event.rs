//! What happens on links.

use std::net::SocketAddr;

use knapweedrill::link::LinkNumber;
use knapweedrill::message::Frame;

/// What happened on a link.
///
/// For each link `Opened` comes first and `Closed` comes last, each once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkEvent {
    /// A connection was made.
    Opened {
        /// The number of the link.
        link: LinkNumber,
        /// The address of the other side.
        address: SocketAddr,
        /// Whether this process dialled.
        is_dialler: bool,
        /// The address given to [`Links::dial`](super::Links::dial), if this process dialled.
        dialled: Option<SocketAddr>,
    },
    /// A frame arrived.
    Frame {
        /// The number of the link.
        link: LinkNumber,
        /// The frame.
        frame: Frame,
    },
    /// The connection has ended, whichever side closed it.
    Closed {
        /// The number of the link.
        link: LinkNumber,
    },
    /// A connection could not be made.
    DialFailed {
        /// The address given to [`Links::dial`](super::Links::dial).
        address: SocketAddr,
    },
}
