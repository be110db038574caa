//! The process's log as JSON lines.

pub use crate::appender::FirstLine;
use crate::appender::QueuedAppender;
use hickory_unit::id;
use log::kv::{self, Key, Source, Value, VisitSource};
use log::{Level, LevelFilter, Record};
use log4rs::append::Append;
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;
use std::path::Path;

/// The name of the root logger's only appender.
const APPENDER_NAME: &str = "lines";

/// Opens the process's log, which appends JSON lines to `file`.
///
/// # Errors
///
/// Fails if the file can't be opened or a log is already open.
pub fn open(level: LevelFilter, file: &Path) -> eyre::Result<log4rs::Handle> {
    let encoder = Box::new(JsonEncoder::new());
    init(level, Box::new(FileAppender::builder().encoder(encoder).build(file)?))
}

fn init(level: LevelFilter, appender: Box<dyn Append>) -> eyre::Result<log4rs::Handle> {
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER_NAME, appender))
        .build(Root::builder().appender(APPENDER_NAME).build(level))?;
    Ok(log4rs::init_config(config)?)
}

/// Adds the node's id to the `mdc` of each line that the calling thread writes.
pub fn set_node(node: &id::Node) {
    log_mdc::insert("node", node.as_str());
}

/// Opens the process's log, which writes JSON lines to standard output from a
/// dedicated thread and never blocks the caller.
///
/// # Errors
///
/// Fails if the thread can't be started or a log is already open.
pub fn open_stdout(level: LevelFilter) -> eyre::Result<log4rs::Handle> {
    init(level, Box::new(QueuedAppender::spawn(std::io::stdout())?))
}

/// Opens the process's log as [`open_stdout`] does, or as [`open`] does if there
/// is a `file`. In both cases the first line on standard output is the one
/// written through the returned [`FirstLine`].
///
/// # Errors
///
/// Fails as [`open`] and [`open_stdout`] do.
pub fn open_with_first_line(level: LevelFilter, file: Option<&Path>) -> eyre::Result<FirstLine> {
    let (first, appender) = QueuedAppender::spawn_with_first_line(std::io::stdout())?;
    match file {
        Some(path) => open(level, path)?,
        None => init(level, Box::new(appender))?,
    };
    Ok(first)
}

/// The attributes of a log line; those that are `None` are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subject {
    /// The request.
    pub request: Option<id::Request>,
    /// The number of the attempt within the request.
    pub attempt: Option<u32>,
    /// The client account.
    pub account: Option<id::Account>,
    /// The target.
    pub target: Option<id::Target>,
    /// The availability zone.
    pub zone: Option<id::Zone>,
}

impl Subject {
    /// Writes a log line with these attributes; `module` is the caller's
    /// `module_path!()`.
    pub fn log(&self, level: Level, module: &str, message: std::fmt::Arguments<'_>) {
        if level > log::max_level() {
            return;
        }
        let record = Record::builder()
            .level(level)
            .target(module)
            .module_path(Some(module))
            .args(message)
            .key_values(self)
            .build();
        log::logger().log(&record);
    }
}

impl Source for Subject {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), kv::Error> {
        if let Some(request) = &self.request {
            visitor.visit_pair(Key::from_str("request"), Value::from_display(request))?;
        }
        if let Some(attempt) = self.attempt {
            visitor.visit_pair(Key::from_str("attempt"), Value::from(attempt))?;
        }
        if let Some(account) = &self.account {
            visitor.visit_pair(Key::from_str("account"), Value::from(account.as_str()))?;
        }
        if let Some(target) = &self.target {
            visitor.visit_pair(Key::from_str("target"), Value::from(target.as_str()))?;
        }
        if let Some(zone) = &self.zone {
            visitor.visit_pair(Key::from_str("zone"), Value::from(zone.as_str()))?;
        }
        Ok(())
    }
}
