//! HTTP/1.1 for the stand-ins: a server with one thread a connection, and single calls.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request that a stand-in has read as a whole.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a parameter of the query, percent-decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let pair = self.query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))?;
        let bytes = pair.as_bytes();
        let mut out = Vec::new();
        let mut at = 0;
        while at < bytes.len() {
            let code = bytes.get(at + 1..at + 3).and_then(|code| std::str::from_utf8(code).ok());
            let decoded = code.and_then(|code| u8::from_str_radix(code, 16).ok());
            match decoded.filter(|_| bytes[at] == b'%') {
                Some(byte) => {
                    out.push(byte);
                    at += 3;
                }
                None => {
                    out.push(bytes[at]);
                    at += 1;
                }
            }
        }
        String::from_utf8(out).ok()
    }
}

/// A status and a body, or `None` to leave the request unanswered and keep the connection silent.
pub type Answer = Option<(u16, Vec<u8>)>;

/// Serves requests at an address until the process ends.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(&Request) -> Answer + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    Ok(())
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(&Request) -> Answer) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        let Some((status, body)) = handler(&request) else {
            // The channel returns nothing further; the other side has to give it up.
            let mut rest = [0; 1024];
            while stream.read(&mut rest).is_ok_and(|count| count > 0) {}
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all(&[head.as_bytes(), &body].concat()).is_err() {
            return;
        }
    }
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        fill(stream, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut words = lines.next()?.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.to_owned(), value.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let body_start = head_end + 4;
    while buffer.len() < body_start + length {
        fill(stream, buffer)?;
    }
    let body = buffer[body_start..body_start + length].to_vec();
    buffer.drain(..body_start + length);
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16_384];
    let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
    buffer.extend_from_slice(&chunk[..count]);
    Some(())
}

/// Sends one request on a channel of its own and returns the status and body of the response, or
/// `None` if there is none within the time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    time: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, time.min(Duration::from_secs(2))).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(time)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\n");
    if !headers.iter().any(|(key, _)| key.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (key, value) in headers {
        head.push_str(&format!("{key}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(head.as_bytes()).ok()?;
    let mut buffer = Vec::new();
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        fill(&mut stream, &mut buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).to_ascii_lowercase();
    let status: u16 = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.split("\r\n").find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.and_then(|value| value.trim().parse().ok()).unwrap_or(0);
    while buffer.len() < head_end + 4 + length {
        fill(&mut stream, &mut buffer)?;
    }
    let body = String::from_utf8_lossy(&buffer[head_end + 4..head_end + 4 + length]).into_owned();
    Some((status, body))
}
