//! Tables of text.

use std::fmt;

/// Blanks between two columns.
const COLUMN_GAP: usize = 2;

/// Rows under a heading, in aligned columns.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with nothing but its heading.
    pub(crate) fn new(heading: &[&str]) -> Self {
        Self { rows: vec![heading.iter().map(|name| (*name).to_owned()).collect()] }
    }

    /// Adds a row.
    pub(crate) fn add_row<const N: usize>(&mut self, cells: [String; N]) {
        let cells = cells.map(|cell| if cell.is_empty() { "-".to_owned() } else { cell });
        self.rows.push(cells.into());
    }

    /// Whether there is no row but the heading.
    pub(crate) fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    fn width(&self, column: usize) -> usize {
        self.rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let last = row.len() - 1;
            for (column, cell) in row[..last].iter().enumerate() {
                write!(f, "{cell:<width$}", width = self.width(column) + COLUMN_GAP)?;
            }
            writeln!(f, "{}", row[last])?;
        }
        Ok(())
    }
}
