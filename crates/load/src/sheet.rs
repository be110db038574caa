//! The figures of one experiment, as a table and as JSON.

use compact_str::CompactString;
use serde::Serialize;
use std::fmt;

/// The goal of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Goal {
    /// The value must be at most this.
    AtMost(f64),
    /// The value must be at least this.
    AtLeast(f64),
}

impl Goal {
    /// Returns whether `value` meets the goal; NaN never does.
    pub fn met(self, value: f64) -> bool {
        match self {
            Self::AtMost(most) => value <= most,
            Self::AtLeast(least) => value >= least,
        }
    }
}

/// One figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// What the figure measures.
    pub name: CompactString,
    /// Its value.
    pub value: f64,
    /// The unit of the value.
    pub unit: &'static str,
    /// Its goal, if it has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub goal: Option<Goal>,
    /// Whether it meets its goal.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub met: Option<bool>,
}

/// The figures of one experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Sheet {
    /// The name of the experiment.
    pub experiment: CompactString,
    /// The seed of the workload.
    pub seed: u64,
    /// One-minute load average of the machine, before and after the experiment.
    pub load_average: [f64; 2],
    /// The figures, in the order of measurement.
    pub figures: Vec<Figure>,
    /// Notes for the interpretation of the figures.
    pub notes: Vec<String>,
}

impl Sheet {
    /// Creates an empty sheet and records the load average of the machine.
    pub fn open(experiment: &str, seed: u64) -> Self {
        let load = read_load_average();
        Self {
            experiment: experiment.into(),
            seed,
            load_average: [load, load],
            figures: Vec::new(),
            notes: Vec::new(),
        }
    }

    /// Adds a figure.
    pub fn add(&mut self, name: impl Into<CompactString>, value: f64, unit: &'static str) {
        self.figures.push(Figure { name: name.into(), value, unit, goal: None, met: None });
    }

    /// Adds a figure with a goal.
    pub fn judge(
        &mut self,
        name: impl Into<CompactString>,
        value: f64,
        unit: &'static str,
        goal: Goal,
    ) {
        let met = Some(goal.met(value));
        self.figures.push(Figure { name: name.into(), value, unit, goal: Some(goal), met });
    }

    /// Adds a note.
    pub fn note(&mut self, note: impl Into<String>) {
        self.notes.push(note.into());
    }

    /// Records the load average at the end of the experiment.
    pub fn close(mut self) -> Self {
        self.load_average[1] = read_load_average();
        self
    }
}

impl fmt::Display for Sheet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [before, after] = self.load_average;
        writeln!(f, "{}, seed {}, load average {before} to {after}", self.experiment, self.seed)?;
        let width = self.figures.iter().map(|figure| figure.name.len()).max().unwrap_or(0);
        for Figure { name, value, unit, goal, met } in &self.figures {
            // NaN means that there were no measurements, such as the latency of
            // refusals in a run without refusals.
            match value.is_nan() {
                true => write!(f, "  {name:width$}  {:>12} {unit}", "-")?,
                false => write!(f, "  {name:width$}  {value:>12.3} {unit}")?,
            }
            match goal {
                Some(Goal::AtMost(most)) => write!(f, "  goal at most {most}")?,
                Some(Goal::AtLeast(least)) => write!(f, "  goal at least {least}")?,
                None => {}
            }
            match met {
                Some(true) => writeln!(f, ", met")?,
                Some(false) => writeln!(f, ", MISSED")?,
                None => writeln!(f)?,
            }
        }
        self.notes.iter().try_for_each(|note| writeln!(f, "  note: {note}"))
    }
}

fn read_load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|first| first.parse().ok()).unwrap_or(f64::NAN)
}
