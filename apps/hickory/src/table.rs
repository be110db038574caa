//! Text tables with aligned columns.

use std::fmt;

/// Number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// A table with a heading and rows.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub(crate) fn new(heading: &[&str]) -> Self {
        Self { rows: vec![heading.iter().map(|name| (*name).to_owned()).collect()] }
    }

    /// Adds a row; empty cells are shown as `-`.
    pub(crate) fn add_row<const N: usize>(&mut self, cells: [String; N]) {
        let cells = cells.map(|cell| if cell.is_empty() { "-".to_owned() } else { cell });
        self.rows.push(cells.into());
    }

    /// Whether the table has no rows apart from the heading.
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
