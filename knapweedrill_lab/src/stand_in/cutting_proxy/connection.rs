//! A connection through the proxy.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long a withheld byte waits before the state is looked at again.
const HOLD_POLL: Duration = Duration::from_millis(2);
const CHUNK_BYTES: usize = 16 * 1024;

/// What happens to the bytes of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// Bytes pass after a delay.
    Passing(Duration),
    /// Bytes are swallowed, and neither end learns that the other closes.
    Silent,
    /// Bytes of the client are swallowed, those of the server pass.
    OneWay,
    /// Bytes wait until the connection passes again.
    Held,
    /// The connection is closed.
    Closed,
}

/// Both ends of a connection through the proxy.
#[derive(Debug)]
pub(super) struct Connection {
    state: Mutex<ConnectionState>,
    client: TcpStream,
    server: TcpStream,
}

impl Connection {
    /// Pumps bytes both ways between `client` and `server` on threads of their own.
    pub(super) fn start(client: TcpStream, server: TcpStream, delay: Duration) -> Arc<Self> {
        // Without the option the proxy would merely be slower.
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let connection = Arc::new(Self {
            state: Mutex::new(ConnectionState::Passing(delay)),
            client,
            server,
        });
        let there = Arc::clone(&connection);
        let back = Arc::clone(&connection);
        thread::spawn(move || there.pump(&there.client, &there.server, true));
        thread::spawn(move || back.pump(&back.server, &back.client, false));
        connection
    }

    pub(super) fn state(&self) -> ConnectionState {
        *self.state.lock().expect("no holder of the lock panics")
    }

    /// Changes the state; a silent, half silent or closed connection stays as it is.
    pub(super) fn set_state(&self, next: ConnectionState) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let is_for_good = matches!(
            *state,
            ConnectionState::Silent | ConnectionState::OneWay | ConnectionState::Closed
        );
        if !is_for_good {
            *state = next;
        }
    }

    /// Closes both ends, whatever the state.
    pub(super) fn close(&self) {
        *self.state.lock().expect("no holder of the lock panics") = ConnectionState::Closed;
        // An end that is closed already needs no shutdown.
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }

    fn pump(&self, mut from: &TcpStream, mut to: &TcpStream, is_from_client: bool) {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let read = from.read(&mut chunk);
            let may_pass = self.wait_until_decided(is_from_client);
            match read {
                Ok(0) | Err(_) if may_pass => break,
                Ok(0) | Err(_) => return,
                Ok(count) if may_pass => {
                    if to.write_all(&chunk[..count]).is_err() {
                        break;
                    }
                }
                Ok(_) => {}
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }

    /// Waits out the delay or the hold, and returns whether what was read passes.
    fn wait_until_decided(&self, is_from_client: bool) -> bool {
        loop {
            match self.state() {
                ConnectionState::Passing(delay) => {
                    thread::sleep(delay);
                    return true;
                }
                ConnectionState::OneWay => return !is_from_client,
                ConnectionState::Held => thread::sleep(HOLD_POLL),
                ConnectionState::Silent | ConnectionState::Closed => return false,
            }
        }
    }
}
