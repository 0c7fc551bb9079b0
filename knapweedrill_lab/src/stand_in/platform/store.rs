//! The platform's store: an append-only log of keyed records per topic, each with one partition.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::json;
use tiny_http::{Method, Request, Response};

use crate::stand_in::HttpServer;
use crate::stand_in::http::{path, query_number, read_body, respond_json, respond_text};

/// The number of requests handled at the same time; waiting reads don't occupy a thread.
const THREAD_COUNT: usize = 4;

/// How often waiting reads are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// The maximum size of an append request, in bytes.
const APPEND_BYTES_MAX: u64 = 2_097_152;

/// A fault that the store injects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// The store works normally.
    #[default]
    None,
    /// All requests are rejected with status 503.
    Unavailable,
    /// Requests get no response. They are kept open and don't take effect.
    NoResponse,
    /// Requests from one client address are rejected with status 503.
    RejectsClient(IpAddr),
}

#[derive(Debug, Default)]
struct Topic {
    /// Reads below this offset are rejected, as after a compaction.
    first: u64,
    records: Vec<Vec<u8>>,
}

struct WaitingRead {
    request: Request,
    topic: String,
    from: u64,
    until: Instant,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    fault: StoreFault,
    /// Maps texts to their replacements within the values of appended records.
    rewrites: HashMap<String, String>,
    waiting_reads: Vec<WaitingRead>,
    /// Requests kept open by [`StoreFault::NoResponse`].
    unanswered: Vec<Request>,
    call_count: u64,
}

/// An HTTP server of the store; it stops when dropped.
pub struct Store {
    server: HttpServer,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Serves an empty store at an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(listen: SocketAddr) -> io::Result<Self> {
        let state: Arc<Mutex<State>> = Arc::default();
        let handler_state = Arc::clone(&state);
        let server = HttpServer::start(listen, THREAD_COUNT, move |request| {
            handle(&handler_state, request);
        })?;
        let polled_state = Arc::downgrade(&state);
        thread::spawn(move || {
            while let Some(state) = polled_state.upgrade() {
                answer_due_reads(&mut lock(&state));
                drop(state);
                thread::sleep(POLL_INTERVAL);
            }
        });
        Ok(Self { server, state })
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the fault to inject from now on and closes the requests that were left unanswered.
    pub fn set_fault(&self, fault: StoreFault) {
        let mut state = lock(&self.state);
        state.fault = fault;
        state.unanswered.clear();
    }

    /// Replaces `text` by `replacement` in the values of records that processes append from now on,
    /// such as the address of a process by that of its proxy.
    pub fn set_rewrite(&self, text: &str, replacement: &str) {
        let rewrite = (text.to_owned(), replacement.to_owned());
        lock(&self.state).rewrites.extend([rewrite]);
    }

    /// Appends a record as the operator, regardless of faults and write permissions.
    pub fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let mut content = vec![u8::try_from(key.len()).expect("keys are short")];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value);
        let mut state = lock(&self.state);
        state
            .topics
            .entry(topic.into())
            .or_default()
            .records
            .push(content);
    }

    /// Compacts a topic: from now on, reads below the current end get status 410, while the newest
    /// record of each key stays available.
    pub fn compact(&self, topic: &str) {
        let mut state = lock(&self.state);
        let topic = state.topics.entry(topic.into()).or_default();
        topic.first = topic.records.len() as u64;
    }

    /// Returns the number of requests received so far.
    pub fn call_count(&self) -> u64 {
        lock(&self.state).call_count
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn handle(state: &Mutex<State>, mut request: Request) {
    let body = read_body(&mut request, APPEND_BYTES_MAX);
    let mut state = lock(state);
    state.call_count += 1;
    let caller = request.remote_addr().map(SocketAddr::ip);
    match state.fault {
        StoreFault::Unavailable => return respond_text(request, 503, ""),
        StoreFault::RejectsClient(client) if caller == Some(client) => {
            return respond_text(request, 503, "");
        }
        StoreFault::NoResponse => {
            state.unanswered.push(request);
            return;
        }
        _ => {}
    }
    let Some(topic) = query_text(&request, "Topic") else {
        return respond_text(request, 400, "the query parameter Topic is missing");
    };
    match (request.method(), path(&request), body) {
        (Method::Post, "/v1/log-append", Some(body)) => append(&mut state, request, topic, &body),
        (Method::Get, "/v1/log-newest", _) => newest(&mut state, request, &topic),
        (Method::Get, "/v1/log-read", _) => {
            let from = query_number(&request, "From").unwrap_or(0);
            let wait_ms = query_number(&request, "WaitMs").unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait_ms);
            state.waiting_reads.push(WaitingRead {
                request,
                topic,
                from,
                until,
            });
            answer_due_reads(&mut state);
        }
        _ => respond_text(request, 404, ""),
    }
}

fn append(state: &mut State, request: Request, topic: String, body: &[u8]) {
    if topic == "keyed.op" || topic == "keyed.servers" {
        return respond_text(request, 403, "");
    }
    let rewrites = &state.rewrites;
    let records = &mut state.topics.entry(topic).or_default().records;
    let offset = records.len();
    let mut rest = body;
    while let Some((length, content)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let Some(record) = content.get(..length) else {
            records.truncate(offset);
            return respond_text(request, 400, "a record is shorter than its length prefix");
        };
        records.push(rewrite_value(record, rewrites));
        rest = &content[length..];
    }
    let end = records.len();
    respond_json(request, 200, &json!({"Offset": offset, "End": end}));
}

fn rewrite_value(record: &[u8], rewrites: &HashMap<String, String>) -> Vec<u8> {
    let Some((_, value)) = split_record(record) else {
        return record.to_vec();
    };
    let Ok(text) = std::str::from_utf8(value) else {
        return record.to_vec();
    };
    let rewrite = rewrites
        .iter()
        .find(|(from, _)| text.contains(from.as_str()));
    let Some((from, to)) = rewrite else {
        return record.to_vec();
    };
    let head = &record[..record.len() - value.len()];
    [head, text.replace(from, to).as_bytes()].concat()
}

fn newest(state: &mut State, request: Request, topic: &str) {
    let topic = state.topics.entry(topic.into()).or_default();
    let mut newest: HashMap<&str, (usize, &[u8])> = HashMap::new();
    for (offset, record) in topic.records.iter().enumerate() {
        let Some((key, value)) = split_record(record) else {
            continue;
        };
        newest.insert(key, (offset, value));
    }
    let items: Vec<_> = newest
        .into_iter()
        .filter(|(_, (_, value))| !value.is_empty())
        .map(|(key, (offset, value))| {
            json!({"Key": key, "Value": BASE64.encode(value), "Offset": offset})
        })
        .collect();
    let end = topic.records.len();
    respond_json(
        request,
        200,
        &json!({"items": items, "MorePages": false, "End": end}),
    );
}

fn split_record(record: &[u8]) -> Option<(&str, &[u8])> {
    let (length, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*length))?;
    Some((std::str::from_utf8(key).ok()?, value))
}

fn answer_due_reads(state: &mut State) {
    let now = Instant::now();
    for read in std::mem::take(&mut state.waiting_reads) {
        let topic = state.topics.entry(read.topic.clone()).or_default();
        let end = topic.records.len() as u64;
        if read.from < topic.first && read.from < end {
            respond_json(read.request, 410, &json!({"First": topic.first}));
        } else if read.from < end || read.until <= now {
            let mut body = end.to_be_bytes().to_vec();
            body.extend_from_slice(&topic.first.to_be_bytes());
            let from = usize::try_from(read.from).unwrap_or(usize::MAX);
            for record in topic.records.iter().skip(from) {
                let length = u32::try_from(record.len()).expect("records are short");
                body.extend_from_slice(&length.to_be_bytes());
                body.extend_from_slice(record);
            }
            // An error means that the client has closed the connection.
            let _ = read.request.respond(Response::from_data(body));
        } else {
            state.waiting_reads.push(read);
        }
    }
}

fn query_text(request: &Request, name: &str) -> Option<String> {
    let (_, query) = request.url().split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut value = pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value);
    value.next_back().map(str::to_owned)
}
