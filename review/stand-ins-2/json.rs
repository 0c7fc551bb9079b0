//! A small JSON reader and writer for the stand-ins.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a whole document, or returns `None` if it is malformed.
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let text = std::str::from_utf8(bytes).ok()?;
        let chars: Vec<char> = text.chars().collect();
        let mut parser = Parser { chars, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.chars.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

/// Returns a JSON string literal.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Parser {
    chars: Vec<char>,
    at: usize,
}

impl Parser {
    fn space(&mut self) {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, c: char) -> Option<()> {
        self.space();
        (self.chars.get(self.at) == Some(&c)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        for c in word.chars() {
            if self.chars.get(self.at) != Some(&c) {
                return None;
            }
            self.at += 1;
        }
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.chars.get(self.at)? {
            'n' => self.word("null", Json::Null),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            '"' => Some(Json::Text(self.string()?)),
            '[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(']').is_some() {
                        return Some(Json::List(list));
                    }
                    self.take(',')?;
                }
            }
            '{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.take('}').is_some() {
                    return Some(Json::Object(fields));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.take(':')?;
                    fields.insert(key, self.value()?);
                    if self.take('}').is_some() {
                        return Some(Json::Object(fields));
                    }
                    self.take(',')?;
                }
            }
            _ => {
                let start = self.at;
                let is_part = |c: &char| c.is_ascii_digit() || "+-.eE".contains(*c);
                while self.chars.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text: String = self.chars[start..self.at].iter().collect();
                Some(Json::Number(text.parse().ok()?))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.chars.get(self.at) != Some(&'"') {
            return None;
        }
        self.at += 1;
        let mut out = String::new();
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(out),
                '\\' => {
                    let escaped = *self.chars.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => out.push('\n'),
                        't' => out.push('\t'),
                        'r' => out.push('\r'),
                        'b' => out.push('\u{8}'),
                        'f' => out.push('\u{c}'),
                        'u' => {
                            let digits: String = self.chars.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            let code = u32::from_str_radix(&digits, 16).ok()?;
                            out.push(char::from_u32(code).unwrap_or('\u{fffd}'));
                        }
                        other => out.push(other),
                    }
                }
                c => out.push(c),
            }
        }
    }
}
