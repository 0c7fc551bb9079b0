//! Events of links.

use std::net::SocketAddr;

use knapweedrill::link::LinkId;
use knapweedrill::message::Frame;

/// An event of a link or of a dial.
///
/// For each link, `Opened` is the first event and `Closed` the last; both occur once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkEvent {
    /// A connection was established.
    Opened {
        /// The identifier of the link.
        link: LinkId,
        /// The address of the peer.
        address: SocketAddr,
        /// Whether this process initiated the connection.
        is_dialler: bool,
        /// The address passed to [`Links::dial`](super::Links::dial), if this process initiated the
        /// connection.
        dialled: Option<SocketAddr>,
    },
    /// A frame was received.
    Frame {
        /// The identifier of the link.
        link: LinkId,
        /// The decoded frame.
        frame: Frame,
    },
    /// The connection was closed by either side or failed.
    Closed {
        /// The identifier of the link.
        link: LinkId,
    },
    /// A connection could not be established.
    DialFailed {
        /// The address passed to [`Links::dial`](super::Links::dial).
        address: SocketAddr,
    },
}
