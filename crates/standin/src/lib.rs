//! Small stand-ins for the platform and the targets, with faults on request.
//!
//! | stand-in | calls |
//! |---|---|
//! | [`store`] | `GET /kv/get?key=`, `GET /kv/list?prefix=`, `POST /kv/write`, `GET /kv/watch?prefix=&after=&wait_ms=`, `POST /lease/grant`, `/lease/renew`, `/lease/revoke`; `GET /counts` |
//! | [`hosts`] | `GET /hosts` |
//! | [`weights`] | `GET /limit`; engines read by `GET /read?bytes=` |
//! | [`engine`] | `POST /v1/generate`, `/v1/resume` (JSON lines), `/v1/cancel`, `/v1/order`, `/v1/import`, `/v1/drop`, `GET /v1/report`, `/v1/cache-events?after=`; engines among themselves `POST /v1/export` |
//! | [`service`] | `POST /call/<path>`, `GET /report`; `GET /runs` counts runs by idempotency key |
//! | [`control`] | `POST /fault/<name>` |
//!
//! Every stand-in also takes `POST /fault` itself, as long as it can answer.
//!
//! A client that goes away does not stop a stream: the engine keeps it until
//! it is cancelled, or ended and read. An ended stream frees its memory at
//! once and answers a resume for a few seconds more.
//!
//! Each `spawn` listens on a real socket and returns a handle that stops the
//! stand-in when dropped. All run on one runtime of the process, so a handle
//! can be made and used with or without an executor at hand.

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
pub mod server;
pub mod service;
mod socket;
pub mod store;
pub mod weights;
