//! The parts of the page that are worked out.

use eyre::{Result, eyre};

/// A part of the page that is worked out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Section {
    /// When, how and on what the slopes were measured.
    Run,
    /// The table of slopes.
    Slopes,
    /// What a process holds that knows nobody.
    Base,
    /// How many entries the planned size takes.
    EntryCount,
    /// The needs of an entry.
    Entry,
    /// The needs of a sidecar.
    Sidecar,
}

impl Section {
    /// All parts, in the order of the page.
    pub const ALL: [Self; 6] = [
        Self::Run,
        Self::Slopes,
        Self::Base,
        Self::EntryCount,
        Self::Entry,
        Self::Sidecar,
    ];

    /// Returns the name that its markers carry.
    pub fn name(self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::Slopes => "slopes",
            Self::Base => "base",
            Self::EntryCount => "entry-count",
            Self::Entry => "entry",
            Self::Sidecar => "sidecar",
        }
    }

    /// Returns the page with other text between the markers of this part.
    ///
    /// # Errors
    ///
    /// Returns an error if the page does not hold both markers once, in their order.
    pub fn replace(self, page: &str, text: &str) -> Result<String> {
        let begin = format!("<!-- measured: {} -->\n", self.name());
        let end = format!("<!-- end: {} -->\n", self.name());
        let (before, rest) = split_once(page, &begin)?;
        let (_, after) = split_once(rest, &end)?;
        Ok(format!("{before}{begin}\n{text}\n\n{end}{after}"))
    }
}

fn split_once<'a>(text: &'a str, marker: &str) -> Result<(&'a str, &'a str)> {
    text.split_once(marker)
        .filter(|(_, rest)| !rest.contains(marker))
        .ok_or_else(|| eyre!("the page needs the marker '{}' once", marker.trim_end()))
}
