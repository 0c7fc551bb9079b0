//! Reads a whole INI file and gathers its problems.

use super::{IniDocument, IniError, IniProblem, IniProblemKind, SectionReader};

/// Reads the sections of an INI file by name and gathers all problems.
#[derive(Debug)]
pub struct IniReader {
    document: IniDocument,
    read_names: Vec<String>,
    problems: Vec<IniProblem>,
}

impl IniReader {
    /// Creates a reader of `text` and notes what is wrong with its form.
    pub fn new(text: &str) -> Self {
        let mut problems = Vec::new();
        let document = IniDocument::parse(text, &mut problems);
        Self {
            document,
            read_names: Vec::new(),
            problems,
        }
    }

    /// Returns a reader of the section `name`, which may be absent.
    ///
    /// The section counts as known from now on.
    pub fn section(&mut self, name: impl Into<String>) -> SectionReader<'_> {
        let name = name.into();
        self.read_names.push(name.clone());
        let section = self.document.section(&name);
        SectionReader::new(name, section, &mut self.problems)
    }

    /// Returns what follows `prefix` and a blank in the names of sections.
    ///
    /// For `service` these are `a` and `b` of `[service a]` and `[service b]`.
    pub fn names_after(&self, prefix: &str) -> Vec<String> {
        self.document
            .sections
            .iter()
            .filter_map(|section| section.name.strip_prefix(prefix)?.strip_prefix(' '))
            .map(str::to_owned)
            .collect()
    }

    /// Returns the line of a section, or of a key in it.
    pub fn line(&self, section: &str, key: Option<&str>) -> Option<usize> {
        let section = self.document.section(section)?;
        let entry = key.and_then(|key| section.entry(key));
        Some(entry.map_or(section.line, |entry| entry.line))
    }

    /// Notes a problem that concerns several values together.
    pub fn note(&mut self, section: &str, key: Option<&str>, kind: IniProblemKind) {
        let line = self.line(section, key);
        self.problems.push(IniProblem {
            line,
            section: Some(section.to_owned()),
            key: key.map(str::to_owned),
            kind,
        });
    }

    /// Returns `value` if there was no problem; sections not read so far are one.
    ///
    /// `allowed` lists the sections that are known.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file.
    ///
    /// # Panics
    ///
    /// Panics if `value` is `None` although no problem was noted.
    pub fn finish<T>(
        mut self,
        file: impl Into<String>,
        allowed: &str,
        value: Option<T>,
    ) -> Result<T, IniError> {
        self.note_unknown_sections(allowed);
        if self.problems.is_empty() {
            return Ok(value.expect("a value that cannot be read leaves a problem"));
        }
        self.problems
            .sort_by_key(|problem| problem.line.unwrap_or(usize::MAX));
        Err(IniError::new(file.into(), self.problems))
    }

    fn note_unknown_sections(&mut self, allowed: &str) {
        for section in &self.document.sections {
            if !self.read_names.contains(&section.name) {
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
