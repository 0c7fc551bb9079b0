//! Tables with aligned columns.

use std::fmt;

/// The spaces between two columns.
const GAP: usize = 2;

/// A table whose columns are as wide as their widest cell.
#[derive(Debug)]
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table of column titles and no rows.
    pub(super) fn new(titles: &[&str]) -> Self {
        let titles = titles.iter().map(|title| (*title).to_owned()).collect();
        Self { rows: vec![titles] }
    }

    /// Adds a row.
    pub(super) fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    fn width(&self, column: usize) -> usize {
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
                let width = self.width(column) + GAP;
                line.push_str(&format!("{cell:<width$}"));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
