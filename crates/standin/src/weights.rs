//! The weight store: its limit, and the reads that engines make under it.

use crate::server::{self, Call, Reply};
use hickory_platform::weight::Limit;
use hickory_unit::size;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The weight store: reads share one rate, in the order in which they come.
#[derive(Clone, Debug)]
pub struct Weights {
    limit: Limit,
    free_at: Arc<Mutex<Instant>>,
}

impl Weights {
    fn open(limit: Limit) -> Self {
        Self { limit, free_at: Arc::new(Mutex::new(Instant::now())) }
    }

    /// How long a read of `bytes` that begins now takes behind those before.
    fn book(&self, bytes: size::Bytes) -> Duration {
        let rate = self.limit.bytes_per_second.0.max(1);
        let own = Duration::from_secs_f64(bytes.0 as f64 / rate as f64);
        let now = Instant::now();
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = now.max(*free_at) + own;
        *free_at - now
    }
}

/// A running weight store.
pub type Handle = server::Handle<Weights>;

/// Serves under `limit`.
pub fn spawn(listen: SocketAddr, limit: Limit) -> std::io::Result<Handle> {
    server::spawn(listen, Weights::open(limit))
}

impl server::Service for Weights {
    async fn call(&self, call: Call) -> Reply {
        match call.path.as_str() {
            "/limit" => Reply::json(&self.limit),
            "/read" => {
                let bytes = size::Bytes(call.query("bytes").parse().unwrap_or(0));
                tokio::time::sleep(self.book(bytes)).await;
                Reply::json(&bytes)
            }
            _ => Reply::status(405, "no such call"),
        }
    }
}
