//! Supervision of the tasks that run as long as the node.
//!
//! Without one of them a node goes on answering callers but no longer hears of its peers, the store
//! or its targets. Its peers then route around a node that still takes requests, and what it decides
//! gets older and older. A node that starts again is back within a second or two.

use crate::core::Core;
use futures::FutureExt;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;

/// Starts a task that runs as long as the node. If it panics, the node has failed.
pub(crate) fn spawn<D: Send + Sync + 'static, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    name: &'static str,
    task: impl Future<Output = ()> + Send + 'static,
) {
    let core = core.clone();
    tokio::spawn(async move {
        // What the task shares stays usable: locks that a panic poisoned are taken nevertheless,
        // until the process ends.
        if let Err(panic) = AssertUnwindSafe(task).catch_unwind().await {
            log::error!(task = name; "task ended by a panic: {}", describe(&*panic));
            core.failed_task.send_replace(Some(name));
        }
    });
}

fn describe(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no message")
}
