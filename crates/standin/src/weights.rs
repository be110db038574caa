//! The weight store: publishes its limit and simulates reads of weights under that limit.

use crate::server::{self, Call, Reply};
use hickory_model::read_limiter::{Busy, ReadLimiter};
use hickory_store::weight::Limit;
use hickory_unit::size;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The weight store. A read beyond the limit is refused and has to be retried, so loading all
/// engines at the same time is slow.
#[derive(Clone, Debug)]
pub struct Weights {
    limit: Limit,
    limiter: Arc<Mutex<ReadLimiter>>,
}

/// A running weight store.
pub type Handle = server::Handle<Weights>;

/// Starts a weight store with `limit`.
pub fn spawn(listen: SocketAddr, limit: Limit) -> std::io::Result<Handle> {
    let limiter = ReadLimiter::new(limit.bytes_per_second, limit.loads as usize);
    server::spawn(listen, Weights { limit, limiter: Arc::new(Mutex::new(limiter)) })
}

impl Weights {
    fn reserve(&self, bytes: size::Bytes) -> Result<Duration, Busy> {
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.start_read(Instant::now(), bytes)
    }

    async fn read(&self, bytes: size::Bytes) -> Reply {
        match self.reserve(bytes) {
            Ok(time) => {
                tokio::time::sleep(time).await;
                Reply::json(&bytes)
            }
            Err(Busy) => Reply::status(429, "too many reads"),
        }
    }
}

impl server::Service for Weights {
    async fn call(&self, call: Call) -> Reply {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/limit") => Reply::json(&self.limit),
            ("GET", "/read") => {
                let bytes = size::Bytes(call.query("bytes").parse().unwrap_or(0));
                self.read(bytes).await
            }
            _ => Reply::status(405, "no such call"),
        }
    }
}
