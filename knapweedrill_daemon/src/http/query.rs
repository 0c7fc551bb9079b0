//! The query of a URL.

/// One parameter of a query, decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryParameter {
    /// The name.
    pub name: String,
    /// The value; empty if the parameter has none.
    pub value: String,
}

/// The query of a URL, decoded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Query {
    parameters: Vec<QueryParameter>,
}

impl Query {
    /// Returns the value of the first parameter of that name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter()
            .find(|parameter| parameter.name == name)
            .map(|parameter| parameter.value.as_str())
    }

    /// Returns the parameters in the order of the URL.
    pub fn iter(&self) -> impl Iterator<Item = &QueryParameter> {
        self.parameters.iter()
    }

    /// Returns the query of that text, or nothing if it is not encoded as URLs are.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let parameters = text
            .split('&')
            .filter(|part| !part.is_empty())
            .map(parse_parameter)
            .collect::<Option<Vec<_>>>()?;
        Some(Self { parameters })
    }
}

fn parse_parameter(part: &str) -> Option<QueryParameter> {
    let (name, value) = part.split_once('=').unwrap_or((part, ""));
    Some(QueryParameter {
        name: decode(&name.replace('+', " "))?,
        value: decode(&value.replace('+', " "))?,
    })
}

/// Decodes the percent escapes of a part of a URL.
pub(super) fn decode(text: &str) -> Option<String> {
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
