//! Tables of measurements, as aligned text, CSV or JSON.

use std::fmt;

use serde::Serialize;

/// One table of an experiment.
///
/// ```
/// use zinniawing::Report;
///
/// let mut report = Report::new("latency", &["case", "p50_ms"]);
/// report.push(["reset", "12.5"]);
/// assert_eq!(report.to_csv(), "case,p50_ms\nreset,12.5\n");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    /// What was measured.
    pub title: String,
    /// Names of the columns, units included.
    pub columns: Vec<String>,
    /// The rows, one for each case.
    pub rows: Vec<Vec<String>>,
}

impl Report {
    /// Creates a table without rows.
    pub fn new(title: &str, columns: &[&str]) -> Self {
        Self {
            title: title.to_owned(),
            columns: columns.iter().map(|c| (*c).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn push<T: ToString>(&mut self, row: impl IntoIterator<Item = T>) {
        let cells = row.into_iter().map(|cell| cell.to_string());
        self.rows.push(cells.collect());
    }

    /// Formats the table as comma-separated values without quoting, so no cell
    /// may contain a comma.
    pub fn to_csv(&self) -> String {
        let lines = std::iter::once(&self.columns).chain(&self.rows);
        lines.map(|cells| cells.join(",") + "\n").collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
            widest.max(self.columns[column].chars().count())
        };
        let widths: Vec<usize> = (0..self.columns.len()).map(width).collect();
        writeln!(f, "{}", self.title)?;
        for cells in std::iter::once(&self.columns).chain(&self.rows) {
            for (cell, width) in cells.iter().zip(&widths) {
                write!(f, "  {cell:>width$}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
