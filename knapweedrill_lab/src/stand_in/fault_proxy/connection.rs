//! A TCP connection through the proxy.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often a paused connection checks its state.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(2);
const CHUNK_BYTES: usize = 16 * 1024;

/// What the proxy does with the bytes of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// Forwards bytes after a delay.
    Forwarding(Duration),
    /// Discards bytes in both directions and doesn't propagate a close.
    BlackHole,
    /// Discards bytes from the client and forwards those from the server.
    RequestBlackHole,
    /// Keeps bytes back until the connection forwards again.
    Paused,
    /// Both ends are closed.
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
    /// Starts one thread per direction that copies bytes between `client` and `server`.
    pub(super) fn start(client: TcpStream, server: TcpStream, delay: Duration) -> Arc<Self> {
        // Without the option the proxy still works, only slower.
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let connection = Arc::new(Self {
            state: Mutex::new(ConnectionState::Forwarding(delay)),
            client,
            server,
        });
        let client_to_server = Arc::clone(&connection);
        let server_to_client = Arc::clone(&connection);
        thread::spawn(move || {
            client_to_server.copy(&client_to_server.client, &client_to_server.server, true)
        });
        thread::spawn(move || {
            server_to_client.copy(&server_to_client.server, &server_to_client.client, false)
        });
        connection
    }

    pub(super) fn state(&self) -> ConnectionState {
        *self.state.lock().expect("no holder of the lock panics")
    }

    /// Changes the state, unless the connection is closed or a black hole, which are final states.
    pub(super) fn set_state(&self, next: ConnectionState) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let is_final = matches!(
            *state,
            ConnectionState::BlackHole
                | ConnectionState::RequestBlackHole
                | ConnectionState::Closed
        );
        if !is_final {
            *state = next;
        }
    }

    /// Closes both ends in any state.
    pub(super) fn close(&self) {
        *self.state.lock().expect("no holder of the lock panics") = ConnectionState::Closed;
        // An error means that this end is already closed.
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }

    fn copy(&self, mut from: &TcpStream, mut to: &TcpStream, is_from_client: bool) {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let read = from.read(&mut chunk);
            let is_forwarded = self.wait_to_forward(is_from_client);
            match read {
                Ok(0) | Err(_) if is_forwarded => break,
                Ok(0) | Err(_) => return,
                Ok(count) if is_forwarded => {
                    if to.write_all(&chunk[..count]).is_err() {
                        break;
                    }
                }
                Ok(_) => {}
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }

    /// Waits for the delay or the end of a pause; returns whether to forward the bytes read.
    fn wait_to_forward(&self, is_from_client: bool) -> bool {
        loop {
            match self.state() {
                ConnectionState::Forwarding(delay) => {
                    thread::sleep(delay);
                    return true;
                }
                ConnectionState::RequestBlackHole => return !is_from_client,
                ConnectionState::Paused => thread::sleep(PAUSE_POLL_INTERVAL),
                ConnectionState::BlackHole | ConnectionState::Closed => return false,
            }
        }
    }
}
