//! Sections and keys of an INI file, with line numbers.

use ::ini::{Ini, ParseOption};
use knapweedrill_derive::value;

use super::{IniProblem, IniProblemKind};

/// A parsed INI file.
#[value]
#[derive(Default)]
pub struct IniDocument {
    /// The sections in file order. A duplicate section is left out; only the first one is kept.
    pub sections: Vec<IniSection>,
}

/// A section of an INI file, with its header line and its entries.
#[value]
pub struct IniSection {
    /// The text between the brackets, with blanks trimmed and collapsed.
    pub name: String,
    /// The line number of the section header, starting at 1.
    pub line: usize,
    /// The entries in file order, without duplicate keys.
    pub entries: Vec<IniEntry>,
}

/// A line `key = value` of a section.
#[value]
pub struct IniEntry {
    /// The key, without surrounding blanks.
    pub key: String,
    /// The value, without surrounding blanks; may be empty.
    pub value: String,
    /// The line number, starting at 1.
    pub line: usize,
}

impl IniDocument {
    /// Parses `text` and appends all syntax problems to `problems`.
    pub fn parse(text: &str, problems: &mut Vec<IniProblem>) -> Self {
        let mut parser = Parser {
            document: Self::default(),
            current_section: CurrentSection::NoSection,
            problems,
        };
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        for (index, line_text) in text.lines().enumerate() {
            parser.read_line(index + 1, line_text.trim());
        }
        parser.document
    }

    /// Returns the section with the given name.
    pub fn section(&self, name: &str) -> Option<&IniSection> {
        self.sections.iter().find(|section| section.name == name)
    }
}

impl IniSection {
    /// Returns the entry with the given key.
    pub fn entry(&self, key: &str) -> Option<&IniEntry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}

/// The section that the current line belongs to.
#[derive(Clone, Copy)]
enum CurrentSection {
    NoSection,
    Section(usize),
    /// Entries of a duplicate section are discarded.
    Duplicate,
}

struct Parser<'a> {
    document: IniDocument,
    current_section: CurrentSection,
    problems: &'a mut Vec<IniProblem>,
}

impl Parser<'_> {
    fn read_line(&mut self, line: usize, text: &str) {
        match parse_line(text) {
            Line::Blank => {}
            Line::Section(name) => self.begin_section(line, name),
            Line::Entry { key, value } => self.add_entry(IniEntry { key, value, line }),
            Line::Malformed => self.add_problem(
                line,
                None,
                IniProblemKind::Malformed {
                    text: text.to_owned(),
                },
            ),
        }
    }

    fn begin_section(&mut self, line: usize, name: String) {
        if let Some(first) = self.document.section(&name) {
            let first_line = first.line;
            self.current_section = CurrentSection::Duplicate;
            self.problems.push(IniProblem {
                line: Some(line),
                section: Some(name),
                key: None,
                kind: IniProblemKind::DuplicateSection { first_line },
            });
            return;
        }
        self.current_section = CurrentSection::Section(self.document.sections.len());
        self.document.sections.push(IniSection {
            name,
            line,
            entries: Vec::new(),
        });
    }

    fn add_entry(&mut self, entry: IniEntry) {
        if has_inline_comment(&entry.value) {
            let text = entry.value.clone();
            self.add_problem(
                entry.line,
                Some(entry.key.clone()),
                IniProblemKind::InlineComment { text },
            );
        }
        match self.current_section {
            CurrentSection::NoSection => {
                self.add_problem(entry.line, Some(entry.key), IniProblemKind::OutsideSection);
            }
            CurrentSection::Duplicate => {}
            CurrentSection::Section(index) => self.add_to_section(index, entry),
        }
    }

    fn add_to_section(&mut self, index: usize, entry: IniEntry) {
        let section = &mut self.document.sections[index];
        match section.entry(&entry.key) {
            Some(first) => {
                let first_line = first.line;
                self.add_problem(
                    entry.line,
                    Some(entry.key),
                    IniProblemKind::DuplicateKey { first_line },
                );
            }
            None => section.entries.push(entry),
        }
    }

    fn add_problem(&mut self, line: usize, key: Option<String>, kind: IniProblemKind) {
        let section = match self.current_section {
            CurrentSection::Section(index) => Some(self.document.sections[index].name.clone()),
            CurrentSection::NoSection | CurrentSection::Duplicate => None,
        };
        self.problems.push(IniProblem {
            line: Some(line),
            section,
            key,
            kind,
        });
    }
}

enum Line {
    Blank,
    Section(String),
    Entry { key: String, value: String },
    Malformed,
}

fn parse_line(text: &str) -> Line {
    if text.is_empty() || text.starts_with([';', '#']) {
        return Line::Blank;
    }
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let Ok(parsed) = Ini::load_from_str_opt(text, options) else {
        return Line::Malformed;
    };
    if text.starts_with('[') {
        return parse_section(&parsed);
    }
    match parsed.general_section().iter().next() {
        Some((key, value)) if !key.trim().is_empty() => Line::Entry {
            key: key.trim().to_owned(),
            value: value.trim().to_owned(),
        },
        _ => Line::Malformed,
    }
}

fn parse_section(parsed: &Ini) -> Line {
    let has_keys = parsed.iter().any(|(_, keys)| !keys.is_empty());
    match parsed.sections().flatten().next() {
        Some(name) if !has_keys && !name.trim().is_empty() => {
            Line::Section(name.split_whitespace().collect::<Vec<_>>().join(" "))
        }
        _ => Line::Malformed,
    }
}

fn has_inline_comment(value: &str) -> bool {
    let mut is_after_blank = true;
    for character in value.chars() {
        if is_after_blank && matches!(character, ';' | '#') {
            return true;
        }
        is_after_blank = character.is_whitespace();
    }
    false
}
