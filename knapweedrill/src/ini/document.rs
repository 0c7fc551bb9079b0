//! The sections and keys of an INI file, with their lines.

use ::ini::{Ini, ParseOption};
use knapweedrill_derive::value;

use super::{IniProblem, IniProblemKind};

/// An INI file: its sections in the order of the text.
#[value]
#[derive(Default)]
pub struct IniDocument {
    /// The sections; a doubled one appears once, with the keys of the first.
    pub sections: Vec<IniSection>,
}

/// A section of an INI file.
#[value]
pub struct IniSection {
    /// The text between the brackets, trimmed.
    pub name: String,
    /// The line of the brackets, counted from 1.
    pub line: usize,
    /// The keys with their values.
    pub entries: Vec<IniEntry>,
}

/// A key with its value.
#[value]
pub struct IniEntry {
    /// The key, trimmed.
    pub key: String,
    /// The value, trimmed.
    pub value: String,
    /// The line, counted from 1.
    pub line: usize,
}

impl IniDocument {
    /// Reads a text and adds what is wrong with its form to `problems`.
    pub fn parse(text: &str, problems: &mut Vec<IniProblem>) -> Self {
        let mut parser = Parser {
            document: Self::default(),
            place: Place::BeforeFirst,
            problems,
        };
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        for (index, line_text) in text.lines().enumerate() {
            parser.read_line(index + 1, line_text.trim());
        }
        parser.document
    }

    /// Returns the section of that name.
    pub fn section(&self, name: &str) -> Option<&IniSection> {
        self.sections.iter().find(|section| section.name == name)
    }
}

impl IniSection {
    /// Returns the entry of that key.
    pub fn entry(&self, key: &str) -> Option<&IniEntry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}

/// Which section the lines being read belong to.
#[derive(Clone, Copy)]
enum Place {
    BeforeFirst,
    InSection(usize),
    /// The keys of a doubled section belong nowhere.
    InDuplicate,
}

struct Parser<'a> {
    document: IniDocument,
    place: Place,
    problems: &'a mut Vec<IniProblem>,
}

impl Parser<'_> {
    fn read_line(&mut self, line: usize, text: &str) {
        match parse_line(text) {
            Line::Blank => {}
            Line::Section(name) => self.begin_section(line, name),
            Line::Entry { key, value } => self.add_entry(IniEntry { key, value, line }),
            Line::Malformed => self.note(
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
            self.place = Place::InDuplicate;
            self.problems.push(IniProblem {
                line: Some(line),
                section: Some(name),
                key: None,
                kind: IniProblemKind::DuplicateSection { first_line },
            });
            return;
        }
        self.place = Place::InSection(self.document.sections.len());
        self.document.sections.push(IniSection {
            name,
            line,
            entries: Vec::new(),
        });
    }

    fn add_entry(&mut self, entry: IniEntry) {
        if has_inline_comment(&entry.value) {
            let text = entry.value.clone();
            self.note(
                entry.line,
                Some(entry.key.clone()),
                IniProblemKind::InlineComment { text },
            );
        }
        match self.place {
            Place::BeforeFirst => {
                self.note(entry.line, Some(entry.key), IniProblemKind::OutsideSection);
            }
            Place::InDuplicate => {}
            Place::InSection(index) => self.add_to_section(index, entry),
        }
    }

    fn add_to_section(&mut self, index: usize, entry: IniEntry) {
        let section = &mut self.document.sections[index];
        match section.entry(&entry.key) {
            Some(first) => {
                let first_line = first.line;
                self.note(
                    entry.line,
                    Some(entry.key),
                    IniProblemKind::DuplicateKey { first_line },
                );
            }
            None => section.entries.push(entry),
        }
    }

    fn note(&mut self, line: usize, key: Option<String>, kind: IniProblemKind) {
        let section = match self.place {
            Place::InSection(index) => Some(self.document.sections[index].name.clone()),
            Place::BeforeFirst | Place::InDuplicate => None,
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
        return section_of(&parsed);
    }
    match parsed.general_section().iter().next() {
        Some((key, value)) if !key.trim().is_empty() => Line::Entry {
            key: key.trim().to_owned(),
            value: value.trim().to_owned(),
        },
        _ => Line::Malformed,
    }
}

fn section_of(parsed: &Ini) -> Line {
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
