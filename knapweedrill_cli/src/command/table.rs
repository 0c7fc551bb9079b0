//! Text tables with aligned columns.

use std::fmt;

/// The number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// A table in which each column is as wide as its widest cell.
#[derive(Debug)]
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header row and no other rows.
    pub(super) fn new(headers: &[&str]) -> Self {
        let header_row = headers.iter().map(|header| (*header).to_owned()).collect();
        Self {
            rows: vec![header_row],
        }
    }

    /// Appends a row with one cell per column.
    pub(super) fn push_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    fn column_width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        let widths = cells.map(|cell| cell.chars().count());
        widths.max().unwrap_or_default()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let mut line = String::new();
            for (column, cell) in row.iter().enumerate() {
                let width = self.column_width(column) + COLUMN_GAP;
                line.push_str(&format!("{cell:<width$}"));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
