//! Request path of bilberryfront: admits requests, selects runners and forwards their responses.
//!
//! The route of a request defines its retry semantics. The wire formats of callers, runners and the
//! store are implemented through the traits in [`dialect`], [`records`] and [`store`].

pub mod admission;
pub mod body;
pub mod budget;
pub mod call;
pub mod catalog;
pub mod control;
pub mod dialect;
pub mod ending;
pub mod events;
pub mod runner_client;
pub mod framing;
pub mod handler;
pub mod flow;
pub mod fleet;
pub mod headers;
pub mod drain;
pub mod log_messages;
pub mod load_sync;
pub mod metrics;
pub mod mirror;
pub mod rollouts;
pub mod network;
pub mod node;
pub mod pool;
pub mod quarantine;
pub mod readers;
pub mod records;
pub mod rejection;
pub mod server;
pub mod settings;
pub mod shards;
pub mod fanout;
pub mod store;
pub mod table_sync;
pub mod throttles;
pub mod tunnel;
pub mod view;
