//! The store of the platform: topics with one partition, of records with keys.

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

/// How many requests are dealt with at the same time; waiting ones are parked.
const THREAD_COUNT: usize = 4;

/// How often parked requests are looked at.
const PARK_POLL: Duration = Duration::from_millis(3);

/// The largest append, in bytes.
const APPEND_BYTES_MAX: u64 = 2_097_152;

/// What is wrong with the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// It turns everybody down with status 503.
    Busy,
    /// It carries calls out and does not answer.
    Silent,
    /// It turns one machine down and serves the others.
    TurnsAway(IpAddr),
}

#[derive(Debug, Default)]
struct Topic {
    /// The offset of the first record that is kept.
    first: u64,
    records: Vec<Vec<u8>>,
}

struct Parked {
    request: Request,
    topic: String,
    from: u64,
    until: Instant,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    fault: StoreFault,
    /// Texts that are stored in place of others, within the values of records.
    aliases: HashMap<String, String>,
    parked: Vec<Parked>,
    silent: Vec<Request>,
    call_count: u64,
}

/// The store, until it is dropped.
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
        let handled = Arc::clone(&state);
        let server = HttpServer::start(listen, THREAD_COUNT, move |request| {
            handle(&handled, request);
        })?;
        let parked = Arc::downgrade(&state);
        thread::spawn(move || {
            while let Some(state) = parked.upgrade() {
                answer_parked(&mut lock(&state));
                drop(state);
                thread::sleep(PARK_POLL);
            }
        });
        Ok(Self { server, state })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets what is wrong with the store.
    pub fn set_fault(&self, fault: StoreFault) {
        let mut state = lock(&self.state);
        state.fault = fault;
        state.silent.clear();
    }

    /// Stores another text whenever a process appends a value with a certain one, such as the address of
    /// a proxy in place of that of a process.
    pub fn set_alias(&self, text: &str, stored: &str) {
        let alias = (text.to_owned(), stored.to_owned());
        lock(&self.state).aliases.extend([alias]);
    }

    /// Adds a record as the operator does, whatever is wrong for the system.
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

    /// Forgets all records of a topic but the newest of each key.
    pub fn compact(&self, topic: &str) {
        let mut state = lock(&self.state);
        let topic = state.topics.entry(topic.into()).or_default();
        topic.first = topic.records.len() as u64;
    }

    /// Returns how many calls came.
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
        StoreFault::Busy => return respond_text(request, 503, ""),
        StoreFault::TurnsAway(machine) if caller == Some(machine) => {
            return respond_text(request, 503, "");
        }
        StoreFault::Silent => {
            state.silent.push(request);
            return;
        }
        _ => {}
    }
    let Some(topic) = query_text(&request, "Topic") else {
        return respond_text(request, 400, "no topic");
    };
    match (request.method(), path(&request), body) {
        (Method::Post, "/v1/log-append", Some(body)) => append(&mut state, request, topic, &body),
        (Method::Get, "/v1/log-newest", _) => newest(&mut state, request, &topic),
        (Method::Get, "/v1/log-read", _) => {
            let from = query_number(&request, "From").unwrap_or(0);
            let wait_ms = query_number(&request, "WaitMs").unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait_ms);
            state.parked.push(Parked {
                request,
                topic,
                from,
                until,
            });
            answer_parked(&mut state);
        }
        _ => respond_text(request, 404, ""),
    }
}

fn append(state: &mut State, request: Request, topic: String, body: &[u8]) {
    if topic == "keyed.op" || topic == "keyed.servers" {
        return respond_text(request, 403, "");
    }
    let aliases = &state.aliases;
    let records = &mut state.topics.entry(topic).or_default().records;
    let offset = records.len();
    let mut rest = body;
    while let Some((length, content)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let Some(record) = content.get(..length) else {
            records.truncate(offset);
            return respond_text(request, 400, "a record is cut off");
        };
        records.push(with_alias(record, aliases));
        rest = &content[length..];
    }
    let end = records.len();
    respond_json(request, 200, &json!({"Offset": offset, "End": end}));
}

fn with_alias(record: &[u8], aliases: &HashMap<String, String>) -> Vec<u8> {
    let Some((_, value)) = split(record) else {
        return record.to_vec();
    };
    let Ok(text) = std::str::from_utf8(value) else {
        return record.to_vec();
    };
    let alias = aliases
        .iter()
        .find(|(told, _)| text.contains(told.as_str()));
    let Some((told, stored)) = alias else {
        return record.to_vec();
    };
    let head = &record[..record.len() - value.len()];
    [head, text.replace(told, stored).as_bytes()].concat()
}

fn newest(state: &mut State, request: Request, topic: &str) {
    let topic = state.topics.entry(topic.into()).or_default();
    let mut newest: HashMap<&str, (usize, &[u8])> = HashMap::new();
    for (offset, record) in topic.records.iter().enumerate() {
        let Some((key, value)) = split(record) else {
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

fn split(record: &[u8]) -> Option<(&str, &[u8])> {
    let (length, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*length))?;
    Some((std::str::from_utf8(key).ok()?, value))
}

fn answer_parked(state: &mut State) {
    let now = Instant::now();
    for parked in std::mem::take(&mut state.parked) {
        let topic = state.topics.entry(parked.topic.clone()).or_default();
        let end = topic.records.len() as u64;
        if parked.from < topic.first && parked.from < end {
            respond_json(parked.request, 410, &json!({"First": topic.first}));
        } else if parked.from < end || parked.until <= now {
            let mut body = end.to_be_bytes().to_vec();
            body.extend_from_slice(&topic.first.to_be_bytes());
            let from = usize::try_from(parked.from).unwrap_or(usize::MAX);
            for record in topic.records.iter().skip(from) {
                let length = u32::try_from(record.len()).expect("records are short");
                body.extend_from_slice(&length.to_be_bytes());
                body.extend_from_slice(record);
            }
            // A caller that hung up needs no answer.
            let _ = parked.request.respond(Response::from_data(body));
        } else {
            state.parked.push(parked);
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
