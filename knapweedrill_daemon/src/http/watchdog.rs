//! Replacing an accept loop that has ended.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};

use super::intake::HEALTH_PATH;

const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps accept loops that fail at once, for want of descriptors, from being replaced in a spin.
const REPLACE_INTERVAL: Duration = Duration::from_millis(500);

/// What the watchdog is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Notice {
    /// An accept loop has ended.
    AcceptEnded,
    /// The server closes.
    Closing,
}

/// Calls `replace` whenever the interface at `address` does not answer, until the server
/// closes.
pub(super) fn watch(address: SocketAddr, notices: &Receiver<Notice>, replace: impl Fn()) {
    let url = format!("http://{}{HEALTH_PATH}", reachable(address));
    loop {
        let must_replace = match notices.recv_timeout(CHECK_INTERVAL) {
            Ok(Notice::AcceptEnded) => true,
            Err(RecvTimeoutError::Timeout) => !is_answering(&url),
            Ok(Notice::Closing) | Err(RecvTimeoutError::Disconnected) => return,
        };
        if must_replace {
            replace();
            thread::sleep(REPLACE_INTERVAL);
        }
    }
}

/// Returns the address at which this process itself reaches the interface.
fn reachable(address: SocketAddr) -> SocketAddr {
    let ip = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V6(ip) if ip.is_unspecified() => Ipv6Addr::LOCALHOST.into(),
        ip => ip,
    };
    SocketAddr::new(ip, address.port())
}

/// Returns whether anything answers; even an error shows that connections are accepted.
fn is_answering(url: &str) -> bool {
    attohttpc::get(url)
        .connect_timeout(CHECK_TIMEOUT)
        .timeout(CHECK_TIMEOUT)
        .send()
        .is_ok()
}
