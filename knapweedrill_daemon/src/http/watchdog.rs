//! Watchdog that replaces an accept loop that has ended.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};

use super::admission::HEALTH_PATH;

const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a replacement, which prevents a busy loop if new accept loops fail immediately, for
/// example for lack of file descriptors.
const REPLACE_INTERVAL: Duration = Duration::from_millis(500);

/// An event that the watchdog handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WatchdogEvent {
    /// An accept loop has ended.
    AcceptLoopEnded,
    /// The server is closing.
    ServerClosing,
}

/// Calls `replace` whenever an accept loop has ended or a health check of `address` fails, until
/// the server closes.
pub(super) fn watch(address: SocketAddr, events: &Receiver<WatchdogEvent>, replace: impl Fn()) {
    let url = format!("http://{}{HEALTH_PATH}", loopback_if_unspecified(address));
    loop {
        let must_replace = match events.recv_timeout(CHECK_INTERVAL) {
            Ok(WatchdogEvent::AcceptLoopEnded) => true,
            Err(RecvTimeoutError::Timeout) => !is_responsive(&url),
            Ok(WatchdogEvent::ServerClosing) | Err(RecvTimeoutError::Disconnected) => return,
        };
        if must_replace {
            replace();
            thread::sleep(REPLACE_INTERVAL);
        }
    }
}

/// Returns the address for health checks: the loopback address if the server listens on all
/// addresses.
fn loopback_if_unspecified(address: SocketAddr) -> SocketAddr {
    let ip = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V6(ip) if ip.is_unspecified() => Ipv6Addr::LOCALHOST.into(),
        ip => ip,
    };
    SocketAddr::new(ip, address.port())
}

/// Returns whether a response arrives. Any status counts, since it shows that connections are
/// accepted.
fn is_responsive(url: &str) -> bool {
    attohttpc::get(url)
        .connect_timeout(CHECK_TIMEOUT)
        .timeout(CHECK_TIMEOUT)
        .send()
        .is_ok()
}
