//! Reader of INI files.

use super::{IniDocument, IniError, IniProblem, IniProblemKind, SectionReader};

/// Reads the sections of an INI file by name and collects all problems.
#[derive(Debug)]
pub struct IniReader {
    document: IniDocument,
    known_section_names: Vec<String>,
    problems: Vec<IniProblem>,
}

impl IniReader {
    /// Parses `text` and records its syntax problems.
    pub fn new(text: &str) -> Self {
        let mut problems = Vec::new();
        let document = IniDocument::parse(text, &mut problems);
        Self {
            document,
            known_section_names: Vec::new(),
            problems,
        }
    }

    /// Returns a reader of the section `name`, which may be absent, and marks this name as known.
    pub fn section(&mut self, name: impl Into<String>) -> SectionReader<'_> {
        let name = name.into();
        self.known_section_names.push(name.clone());
        let section = self.document.section(&name);
        SectionReader::new(name, section, &mut self.problems)
    }

    /// Returns the part of the section names after `prefix` and a blank.
    ///
    /// For the prefix `service`, the sections `[service a]` and `[service b]` yield `a` and `b`.
    pub fn section_name_suffixes(&self, prefix: &str) -> Vec<String> {
        self.document
            .sections
            .iter()
            .filter_map(|section| section.name.strip_prefix(prefix)?.strip_prefix(' '))
            .map(str::to_owned)
            .collect()
    }

    /// Returns the line number of `key` in a section, or of the section header if `key` is `None` or
    /// absent.
    pub fn line(&self, section: &str, key: Option<&str>) -> Option<usize> {
        let section = self.document.section(section)?;
        let entry = key.and_then(|key| section.entry(key));
        Some(entry.map_or(section.line, |entry| entry.line))
    }

    /// Records a problem that the section readers can't find, such as one between several values.
    pub fn add_problem(&mut self, section: &str, key: Option<&str>, kind: IniProblemKind) {
        let line = self.line(section, key);
        self.problems.push(IniProblem {
            line,
            section: Some(section.to_owned()),
            key: key.map(str::to_owned),
            kind,
        });
    }

    /// Returns `value` if there are no problems. Sections that were not read count as problems.
    ///
    /// `file` and `allowed`, the list of valid sections, are used in error messages.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file, ordered by line number.
    ///
    /// # Panics
    ///
    /// Panics if `value` is `None` although no problem was recorded.
    pub fn finish<T>(
        mut self,
        file: impl Into<String>,
        allowed: &str,
        value: Option<T>,
    ) -> Result<T, IniError> {
        self.add_unknown_sections(allowed);
        if self.problems.is_empty() {
            return Ok(value.expect("a missing value is recorded as a problem"));
        }
        self.problems
            .sort_by_key(|problem| problem.line.unwrap_or(usize::MAX));
        Err(IniError::new(file.into(), self.problems))
    }

    fn add_unknown_sections(&mut self, allowed: &str) {
        for section in &self.document.sections {
            if !self.known_section_names.contains(&section.name) {
                self.problems.push(IniProblem {
                    line: Some(section.line),
                    section: Some(section.name.clone()),
                    key: None,
                    kind: IniProblemKind::UnknownSection {
                        allowed: allowed.to_owned(),
                    },
                });
            }
        }
    }
}
