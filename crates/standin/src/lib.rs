//! Stand-ins for the platform's services, for engines and for plain services. They are test
//! doubles that listen on real sockets and inject faults on request.
//!
//! | module | calls |
//! |---|---|
//! | [`store`] | `GET /kv/get?key=`, `GET /kv/list?prefix=`, `POST /kv/write`, `GET /kv/watch?prefix=&after=&wait_ms=`, `POST /lease/grant`, `/lease/renew`, `/lease/revoke`; `GET /counts` |
//! | [`hosts`] | `GET /hosts` |
//! | [`weights`] | `GET /limit`; engines read by `GET /read?bytes=` |
//! | [`engine`] | `POST /v1/generate`, `/v1/resume` (JSON lines), `/v1/cancel`, `/v1/order`, `/v1/import`, `/v1/drop`, `GET /v1/report`, `/v1/cache-events?after=`; between engines `POST /v1/export` |
//! | [`service`] | `POST /call/<path>`, `GET /report`; `GET /runs` counts runs by idempotency key |
//! | [`control`] | `POST /fault/<name>` |
//!
//! Every stand-in also accepts `POST /fault` on its own port while its process is up and not
//! frozen.
//!
//! A stream continues after its client disconnects: the engine keeps the stream until it is
//! cancelled, or until it has ended and been read. A stream that ended frees its KV memory
//! immediately, and can still be resumed for a few seconds.
//!
//! Each `spawn` function returns a handle that stops the stand-in when dropped. All stand-ins of
//! a process share one Tokio runtime, so callers can create and use a handle outside of any
//! async runtime.

pub mod answer;
pub mod control;
pub mod engine;
pub mod fault;
pub mod fleet;
pub mod hosts;
mod kv;
pub mod memory;
mod peer;
pub mod rate;
mod reader;
pub mod responder;
pub mod server;
pub mod service;
mod socket;
pub mod store;
pub mod weights;
