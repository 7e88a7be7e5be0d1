//! The request path of bilberryfront: it takes requests that it doesn't look into, finds a runner for
//! each, and carries the answer back.
//!
//! What a request may suffer follows from its route: a call that isn't idempotent is sent once, one
//! that is may be tried again, and a stream that may be resumed goes on at another runner. How callers,
//! runners and the store spell things is behind the traits in [`dialect`] and [`store`].

pub mod body;
pub mod budget;
pub mod call;
pub mod catalog;
pub mod control;
pub mod dialect;
pub mod events;
pub mod exchange;
pub mod face;
pub mod flow;
pub mod fleet;
pub mod headers;
pub mod leaving;
pub mod lines;
pub mod loads;
pub mod metrics;
pub mod moves;
pub mod network;
pub mod node;
pub mod pool;
pub mod records;
pub mod refusal;
pub mod server;
pub mod settings;
pub mod spread;
pub mod store;
pub mod view;
