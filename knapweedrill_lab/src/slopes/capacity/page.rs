//! The page on capacity.

use eyre::Result;

use super::slope_table::SlopeTable;
use super::{Section, entry_count, entry_rows, row, sidecar_rows, slope_rows};
use crate::slopes::SlopesReport;

/// The parts of the page on capacity that follow from the slopes of a run.
pub struct CapacityPage<'a> {
    slopes: SlopeTable<'a>,
    note: String,
}

impl<'a> CapacityPage<'a> {
    /// Takes the slopes of a run, and a note on the machine and its state.
    ///
    /// # Errors
    ///
    /// Returns an error if the run did not measure everything.
    pub fn new(report: &'a SlopesReport, note: impl Into<String>) -> Result<Self> {
        Ok(Self {
            slopes: SlopeTable::new(report)?,
            note: note.into(),
        })
    }

    /// Returns a part of the page.
    pub fn text(&self, section: Section) -> String {
        let slopes = &self.slopes;
        match section {
            Section::Run => slope_rows::run(slopes, &self.note),
            Section::Slopes => slope_rows::table(slopes),
            Section::Base => slope_rows::base(slopes),
            Section::EntryCount => entry_count::text(slopes),
            Section::Entry => row::table(&entry_rows::rows(slopes)),
            Section::Sidecar => row::table(&sidecar_rows::rows(slopes)),
        }
    }

    /// Returns the page with all its worked parts written anew; other text stays.
    ///
    /// # Errors
    ///
    /// Returns an error if a marker is missing.
    pub fn rewrite(&self, page: &str) -> Result<String> {
        Section::ALL
            .into_iter()
            .try_fold(page.to_owned(), |page, section| {
                section.replace(&page, &self.text(section))
            })
    }
}
