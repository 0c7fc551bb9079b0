//! Reads the values of one section.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use super::values::{self, ADDRESS_ALLOWED, NAME_ALLOWED};
use super::{IniEntry, IniProblem, IniProblemKind, IniSection};

/// Reads the values of one section by key and notes what is wrong.
///
/// A method that returns `None` for a value that must be given has noted a problem.
#[derive(Debug)]
pub struct SectionReader<'a> {
    name: String,
    section: Option<&'a IniSection>,
    read_keys: Vec<&'static str>,
    problems: &'a mut Vec<IniProblem>,
}

impl<'a> SectionReader<'a> {
    pub(super) fn new(
        name: String,
        section: Option<&'a IniSection>,
        problems: &'a mut Vec<IniProblem>,
    ) -> Self {
        Self {
            name,
            section,
            read_keys: Vec::new(),
            problems,
        }
    }

    /// Returns a value that must be given.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if self.entry(key).is_none() {
            self.note(
                key,
                IniProblemKind::Missing {
                    allowed: allowed.to_owned(),
                },
            );
        }
        self.optional(key, allowed, parse)
    }

    /// Returns a value that may be left out.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.read_keys.push(key);
        let text = self.entry(key)?.value.as_str();
        let value = parse(text);
        if value.is_none() {
            let kind = IniProblemKind::InvalidValue {
                text: text.to_owned(),
                allowed: allowed.to_owned(),
            };
            self.note(key, kind);
        }
        value
    }

    /// Returns a name that must be given.
    pub fn name(&mut self, key: &'static str) -> Option<String> {
        self.required(key, NAME_ALLOWED, |text| {
            values::is_name(text).then(|| text.to_owned())
        })
    }

    /// Returns an address that must be given.
    pub fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.required(key, ADDRESS_ALLOWED, values::address)
    }

    /// Returns an address that may be left out.
    pub fn optional_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.optional(key, ADDRESS_ALLOWED, values::address)
    }

    /// Returns one or more addresses, separated by commas, that must be given.
    pub fn addresses(&mut self, key: &'static str) -> Option<Vec<SocketAddr>> {
        let allowed = format!("one or more, separated by commas, of: {ADDRESS_ALLOWED}");
        self.required(key, &allowed, |text| {
            text.split(',')
                .map(str::trim)
                .map(values::address)
                .collect()
        })
    }

    /// Returns a whole number, or `default` if it is left out.
    pub fn number_or(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let allowed = number_allowed(&range);
        let value = self.optional(key, &allowed, |text| values::number(text, &range));
        value.unwrap_or(default)
    }

    /// Returns a whole number that must be given.
    pub fn number(&mut self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        self.required(key, &number_allowed(&range), |text| {
            values::number(text, &range)
        })
    }

    /// Returns a whole number that fits 32 bits, or `default` if it is left out.
    pub fn number_u32_or(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u32>,
        default: u32,
    ) -> u32 {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        let value = self.number_or(key, range, u64::from(default));
        u32::try_from(value).unwrap_or(default)
    }

    /// Returns a time given in whole milliseconds, or `default` if it is left out.
    pub fn milliseconds_or(
        &mut self,
        key: &'static str,
        range_ms: RangeInclusive<u64>,
        default: Duration,
    ) -> Duration {
        let allowed = milliseconds_allowed(&range_ms);
        let value_ms = self.optional(key, &allowed, |text| values::number(text, &range_ms));
        value_ms.map_or(default, Duration::from_millis)
    }

    /// Returns a time in whole milliseconds that must be given.
    pub fn milliseconds(
        &mut self,
        key: &'static str,
        range_ms: RangeInclusive<u64>,
    ) -> Option<Duration> {
        let allowed = milliseconds_allowed(&range_ms);
        let value_ms = self.required(key, &allowed, |text| values::number(text, &range_ms));
        value_ms.map(Duration::from_millis)
    }

    /// Returns one of a closed set of values that must be given.
    pub fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)]) -> Option<T> {
        self.required(key, &values::choices_allowed(choices), |text| {
            values::choice(text, choices)
        })
    }

    /// Returns one of a closed set of values, or `default` if it is left out.
    pub fn choice_or<T: Copy>(
        &mut self,
        key: &'static str,
        choices: &[(&str, T)],
        default: T,
    ) -> T {
        self.optional(key, &values::choices_allowed(choices), |text| {
            values::choice(text, choices)
        })
        .unwrap_or(default)
    }

    /// Notes a problem if the time of `key` is shorter than that of `other_key`.
    pub fn require_at_least(
        &mut self,
        key: &'static str,
        value: Duration,
        other_key: &str,
        other: Duration,
    ) {
        if value < other {
            let kind = IniProblemKind::InvalidValue {
                text: value.as_millis().to_string(),
                allowed: format!("not less than {other_key}, which is {}", other.as_millis()),
            };
            self.note(key, kind);
        }
    }

    /// Notes a problem with a key of this section.
    pub fn note(&mut self, key: &'static str, kind: IniProblemKind) {
        let line = self
            .entry(key)
            .map(|entry| entry.line)
            .or(self.section.map(|section| section.line));
        self.problems.push(IniProblem {
            line,
            section: Some(self.name.clone()),
            key: Some(key.to_owned()),
            kind,
        });
    }

    /// Notes the keys of the section that were not read.
    pub fn finish(self) {
        let Some(section) = self.section else {
            return;
        };
        for entry in &section.entries {
            if !self.read_keys.contains(&entry.key.as_str()) {
                self.problems.push(IniProblem {
                    line: Some(entry.line),
                    section: Some(self.name.clone()),
                    key: Some(entry.key.clone()),
                    kind: IniProblemKind::UnknownKey {
                        allowed: self.read_keys.join(", "),
                    },
                });
            }
        }
    }

    fn entry(&self, key: &str) -> Option<&'a IniEntry> {
        self.section?.entry(key)
    }
}

fn number_allowed(range: &RangeInclusive<u64>) -> String {
    format!("a whole number from {} to {}", range.start(), range.end())
}

fn milliseconds_allowed(range_ms: &RangeInclusive<u64>) -> String {
    format!(
        "a whole number of milliseconds from {} to {}, without a unit",
        range_ms.start(),
        range_ms.end()
    )
}
