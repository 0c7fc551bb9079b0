//! A stand-in for the store: topics of keyed records, with one partition each.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server, reply};

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<Vec<u8>>>,
    /// Texts that are replaced in the records that processes append: the address of a process by
    /// that of the proxy before it.
    rewrites: Vec<(String, String)>,
}

/// A store without faults.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let handled = Arc::clone(&shared);
        let server = Server::start(address, move |request| handle(&handled, &request))?;
        let address = server.address;
        Ok(Self { shared, address })
    }

    /// Appends a record as the operator.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.topics.entry(topic.to_owned()).or_default().push(record);
        changed.notify_all();
    }

    pub fn rewrite(&self, from: &str, to: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.rewrites.push((from.to_owned(), to.to_owned()));
    }
}

fn handle(shared: &(Mutex<State>, Condvar), request: &Request) -> Response {
    let topic = request.parameter("Topic");
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/v1/log-append") => append(shared, &topic, &request.body),
        ("GET", "/v1/log-newest") => newest(shared, &topic),
        ("GET", "/v1/log-read") => read(shared, &topic, request),
        _ => reply(404, ""),
    }
}

fn append(shared: &(Mutex<State>, Condvar), topic: &str, body: &[u8]) -> Response {
    if topic == "keyed.op" || topic == "keyed.servers" {
        return reply(403, "");
    }
    let mut state = shared.0.lock().unwrap();
    let rewrites = state.rewrites.clone();
    let records = state.topics.entry(topic.to_owned()).or_default();
    let offset = records.len();
    let mut rest = body;
    while rest.len() >= 4 {
        let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        let Some(record) = rest.get(4..4 + length) else {
            return reply(400, "");
        };
        records.push(rewritten(record, &rewrites));
        rest = &rest[4 + length..];
    }
    let end = records.len();
    shared.1.notify_all();
    reply(200, &format!("{{\"Offset\":{offset},\"End\":{end}}}"))
}

fn rewritten(record: &[u8], rewrites: &[(String, String)]) -> Vec<u8> {
    let head = 1 + usize::from(record[0]);
    let Ok(mut value) = String::from_utf8(record[head..].to_vec()) else {
        return record.to_vec();
    };
    for (from, to) in rewrites {
        value = value.replace(from, to);
    }
    [&record[..head], value.as_bytes()].concat()
}

fn newest(shared: &(Mutex<State>, Condvar), topic: &str) -> Response {
    let mut state = shared.0.lock().unwrap();
    let records = state.topics.entry(topic.to_owned()).or_default();
    let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        let head = 1 + usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..head]).into_owned();
        newest.insert(key, (offset, record[head..].to_vec()));
    }
    let items: Vec<String> = newest
        .into_iter()
        .filter(|(_, (_, value))| !value.is_empty())
        .map(|(key, (offset, value))| {
            format!(
                "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}",
                base64(&value)
            )
        })
        .collect();
    let (items, end) = (items.join(","), records.len());
    reply(
        200,
        &format!("{{\"items\":[{items}],\"MorePages\":false,\"End\":{end}}}"),
    )
}

fn read(shared: &(Mutex<State>, Condvar), topic: &str, request: &Request) -> Response {
    let from: usize = request.parameter("From").parse().unwrap_or(0);
    let wait_ms: u64 = request.parameter("WaitMs").parse().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let mut state = shared.0.lock().unwrap();
    loop {
        let records = state.topics.entry(topic.to_owned()).or_default();
        let left = until.saturating_duration_since(Instant::now());
        if from < records.len() || left.is_zero() {
            let mut body = (records.len() as u64).to_be_bytes().to_vec();
            body.extend_from_slice(&0_u64.to_be_bytes());
            for record in records.iter().skip(from) {
                body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                body.extend_from_slice(record);
            }
            return Some((200, body));
        }
        state = shared.1.wait_timeout(state, left).unwrap().0;
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .chain([0; 2].iter())
            .take(3)
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        for place in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * place) & 63) as usize] as char;
            out.push(if place <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
