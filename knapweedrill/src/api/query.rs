//! Parsing of the query parameters of a call.

use std::time::Duration;

use super::{CallError, ExpectedParent, WAIT_MAX};
use crate::common::TeamName;
use crate::ini::{NAME_ALLOWED, is_name};

/// The query parameters of a call, decoded but not validated.
#[derive(Debug, Default)]
pub(super) struct Query {
    team: Option<String>,
    wait_ms: Option<String>,
    parent: Option<String>,
}

impl Query {
    /// Parses the text after the question mark; only the parameters in `known` are allowed.
    pub(super) fn parse(text: &str, known: &'static [&'static str]) -> Result<Self, CallError> {
        let mut query = Self::default();
        for part in text.split('&').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once('=').unwrap_or((part, ""));
            query.add(name, value, known)?;
        }
        Ok(query)
    }

    fn add(&mut self, name: &str, value: &str, known: &[&str]) -> Result<(), CallError> {
        let slot = match name {
            "team" => &mut self.team,
            "wait_ms" => &mut self.wait_ms,
            "parent" => &mut self.parent,
            _ => {
                return Err(error(
                    name,
                    "team, wait_ms and parent, where the call supports them",
                ));
            }
        };
        if !known.contains(&name) {
            return Err(error(name, "a parameter that this call supports"));
        }
        let value = decode(value).ok_or_else(|| error(name, "percent-encoded UTF-8 text"))?;
        if slot.replace(value).is_some() {
            return Err(error(name, "each parameter once"));
        }
        Ok(())
    }

    pub(super) fn team(&self) -> Result<TeamName, CallError> {
        match &self.team {
            Some(team) if is_name(team) => Ok(team.clone()),
            _ => Err(error("team", NAME_ALLOWED)),
        }
    }

    pub(super) fn wait(&self) -> Result<Duration, CallError> {
        let Some(text) = &self.wait_ms else {
            return Ok(Duration::ZERO);
        };
        let wait_ms = text
            .parse()
            .map_err(|_| error("wait_ms", "a whole number of milliseconds"))?;
        Ok(Duration::from_millis(wait_ms).min(WAIT_MAX))
    }

    pub(super) fn parent(&self) -> Result<ExpectedParent, CallError> {
        let Some(text) = &self.parent else {
            return Ok(ExpectedParent::Current);
        };
        text.parse()
            .map_err(|_| error("parent", "the number of a version, none, current"))
    }
}

/// Percent-decodes a query value; returns `None` if the encoding is malformed or not UTF-8.
fn decode(text: &str) -> Option<String> {
    let text = text.replace('+', " ");
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        if *first != b'%' {
            bytes.push(*first);
            rest = tail;
            continue;
        }
        let (digits, after) = tail.split_at_checked(2)?;
        bytes.push(decode_digit(digits[0])? << 4 | decode_digit(digits[1])?);
        rest = after;
    }
    String::from_utf8(bytes).ok()
}

fn decode_digit(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}

fn error(name: &str, allowed: &'static str) -> CallError {
    CallError::Query {
        name: name.to_owned(),
        allowed,
    }
}
