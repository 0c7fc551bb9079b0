//! The store of the platform: topics of keyed records in one partition.
//!
//! Each process has a port of its own, so that the records that a process reads can name the
//! addresses of proxies, and single processes can be cut off.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::quote;

/// Texts that are replaced in what one process reads.
pub type Replacements = Vec<(String, String)>;

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    /// The contents of the records of each topic: length of the key, key, value.
    topics: Mutex<HashMap<String, Vec<Vec<u8>>>>,
    has_appended: Condvar,
}

impl Store {
    /// Serves the store to one process at an address. While `is_cut` is set, calls there have no
    /// answer and no effect.
    pub fn serve(
        &self,
        address: SocketAddr,
        replacements: Replacements,
        is_cut: Arc<AtomicBool>,
    ) -> io::Result<()> {
        let store = self.clone();
        http::serve(address, move |request| {
            if is_cut.load(Ordering::SeqCst) {
                return None;
            }
            let answer = store.answer(request, &replacements);
            // An answer that was still to come when the cut began is lost.
            answer.filter(|_| !is_cut.load(Ordering::SeqCst))
        })
    }

    /// Appends a record as the operator does.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        let mut topics = self.shared.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(content);
        self.shared.has_appended.notify_all();
    }

    fn answer(&self, request: &Request, replacements: &Replacements) -> Answer {
        let Some(topic) = request.parameter("Topic") else {
            return Some((400, Vec::new()));
        };
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/log-append") => Some(self.append(topic, &request.body)),
            ("GET", "/v1/log-read") => Some(self.read(&topic, request, replacements)),
            ("GET", "/v1/log-newest") => Some(self.newest(&topic, replacements)),
            _ => Some((404, Vec::new())),
        }
    }

    fn append(&self, topic: String, body: &[u8]) -> (u16, Vec<u8>) {
        let mut topics = self.shared.topics.lock().unwrap();
        let records = topics.entry(topic).or_default();
        let offset = records.len();
        let mut rest = body;
        while let Some((length, after)) = rest.split_at_checked(4) {
            let length = u32::from_be_bytes(length.try_into().unwrap()) as usize;
            let Some((content, after)) = after.split_at_checked(length) else {
                return (400, Vec::new());
            };
            records.push(content.to_vec());
            rest = after;
        }
        let answer = format!("{{\"Offset\":{offset},\"End\":{}}}", records.len());
        self.shared.has_appended.notify_all();
        (200, answer.into_bytes())
    }

    fn read(&self, topic: &str, request: &Request, replacements: &Replacements) -> (u16, Vec<u8>) {
        let number = |name: &str| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("From").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        let mut topics = self.shared.topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.shared.has_appended.wait_timeout(topics, left).unwrap().0;
        }
        let records: &[Vec<u8>] = topics.get(topic).map_or(&[], Vec::as_slice);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for content in records.iter().skip(from) {
            let content = replace(content, replacements);
            body.extend_from_slice(&(content.len() as u32).to_be_bytes());
            body.extend_from_slice(&content);
        }
        (200, body)
    }

    fn newest(&self, topic: &str, replacements: &Replacements) -> (u16, Vec<u8>) {
        let topics = self.shared.topics.lock().unwrap();
        let records: &[Vec<u8>] = topics.get(topic).map_or(&[], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, content) in records.iter().enumerate() {
            let content = replace(content, replacements);
            let key_length = usize::from(content[0]);
            let key = String::from_utf8_lossy(&content[1..1 + key_length]).into_owned();
            newest.insert(key, (content[1 + key_length..].to_vec(), offset));
        }
        let items: Vec<String> = newest
            .iter()
            .filter(|(_, (value, _))| !value.is_empty())
            .map(|(key, (value, offset))| {
                let (key, value) = (quote(key), base64(value));
                format!("{{\"Key\":{key},\"Value\":\"{value}\",\"Offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        let body = format!("{{\"items\":[{items}],\"MorePages\":false,\"End\":{end}}}");
        (200, body.into_bytes())
    }
}

fn replace(content: &[u8], replacements: &Replacements) -> Vec<u8> {
    let key_length = usize::from(content[0]);
    let mut value = String::from_utf8_lossy(&content[1 + key_length..]).into_owned();
    for (from, to) in replacements {
        value = value.replace(from, to);
    }
    [&content[..1 + key_length], value.as_bytes()].concat()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let is_used = digit <= chunk.len();
            let value = bits >> (18 - 6 * digit) & 63;
            out.push(if is_used { DIGITS[value as usize] as char } else { '=' });
        }
    }
    out
}
