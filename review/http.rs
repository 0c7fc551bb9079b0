//! A small HTTP/1.1 server and client for the stand-ins.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request.
#[derive(Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a parameter of the query, or an empty text.
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
        values.next().unwrap_or_default().to_owned()
    }
}

/// A response: status and body. `None` from a handler closes the connection without one.
pub type Response = Option<(u16, Vec<u8>)>;

/// Returns a response with a text.
pub fn reply(status: u16, body: &str) -> Response {
    Some((status, body.as_bytes().to_vec()))
}

/// A server that can go down, as a process that crashes, and come up again.
pub struct Server {
    pub address: SocketAddr,
    is_down: Arc<AtomicBool>,
    streams: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Server {
    /// Serves requests at an address, each connection in a thread.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(Request) -> Response + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let is_down = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<HashMap<u64, TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let next = AtomicU64::new(0);
        let (down, open) = (Arc::clone(&is_down), Arc::clone(&streams));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if down.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                let number = next.fetch_add(1, Ordering::SeqCst);
                if let Ok(clone) = stream.try_clone() {
                    open.lock().unwrap().insert(number, clone);
                }
                let (handler, open) = (Arc::clone(&handler), Arc::clone(&open));
                thread::spawn(move || {
                    let _ = serve_connection(stream, &*handler);
                    open.lock().unwrap().remove(&number);
                });
            }
        });
        Ok(Self {
            address,
            is_down,
            streams,
        })
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts connections, which then drops the listener.
        let _ = TcpStream::connect(self.address);
    }
}

fn serve_connection(
    stream: TcpStream,
    handler: &(impl Fn(Request) -> Response + ?Sized),
) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader)? {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request = Request {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            headers,
            body,
        };
        let Some((status, body)) = handler(request) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(&body);
        writer.write_all(&message)?;
    }
    Ok(())
}

type Message = (String, HashMap<String, String>, Vec<u8>);

fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// Why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoResponse {
    /// The channel broke or could not be opened.
    Broken,
    /// No response came in time.
    Late,
}

/// The text of a request.
pub fn request_text(method: &str, path: &str, host: &str, wait_ms: u64, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Knapweedrill-Deadline-Ms: {wait_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads the response on a channel, for at most `wait`.
pub fn read_response(stream: &TcpStream, wait: Duration) -> Result<(u16, String), NoResponse> {
    let until = Instant::now() + wait;
    let left = until.saturating_duration_since(Instant::now());
    let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
    let mut reader = BufReader::new(stream);
    match read_message(&mut reader) {
        Ok(Some((first, _, body))) => {
            let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
            Ok((status.unwrap_or(0), String::from_utf8_lossy(&body).into_owned()))
        }
        Ok(None) => Err(NoResponse::Broken),
        Err(error)
            if matches!(
                error.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ) =>
        {
            Err(NoResponse::Late)
        }
        Err(_) => Err(NoResponse::Broken),
    }
}

/// Sends a request on a channel of its own and returns status and body. The channel is closed when
/// the response has come or the wait is over.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    wait: Duration,
    body: &str,
) -> Result<(u16, String), NoResponse> {
    let mut stream =
        TcpStream::connect_timeout(&address, wait).map_err(|_| NoResponse::Broken)?;
    let _ = stream.set_nodelay(true);
    let text = request_text(method, path, host, wait.as_millis() as u64, body);
    stream
        .write_all(text.as_bytes())
        .map_err(|_| NoResponse::Broken)?;
    read_response(&stream, wait)
}
