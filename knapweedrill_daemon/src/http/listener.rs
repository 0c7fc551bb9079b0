//! Socket options of the HTTP listener.

use std::net::TcpListener;
use std::time::Duration;

use eyre::{Result, WrapErr as _};
use socket2::{SockRef, TcpKeepalive};

const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEPALIVE_RETRY_COUNT: u32 = 3;
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Sets the socket options that accepted connections inherit.
///
/// The read timeout also applies to `accept` and would end an idle accept loop. The health checks
/// of the watchdog normally arrive more often, and the watchdog replaces an accept loop that ends.
///
/// # Errors
///
/// Returns an error if an option can't be set.
pub(super) fn set_options(listener: &TcpListener, idle_timeout: Duration) -> Result<()> {
    let socket = SockRef::from(listener);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRY_COUNT);
    socket
        .set_tcp_keepalive(&keepalive)
        .wrap_err("cannot set keepalive on the HTTP listener")?;
    socket
        .set_tcp_user_timeout(Some(USER_TIMEOUT))
        .wrap_err("cannot set the user timeout on the HTTP listener")?;
    socket
        .set_read_timeout(Some(idle_timeout))
        .wrap_err("cannot set the read timeout on the HTTP listener")?;
    socket
        .set_write_timeout(Some(idle_timeout))
        .wrap_err("cannot set the write timeout on the HTTP listener")?;
    Ok(())
}
