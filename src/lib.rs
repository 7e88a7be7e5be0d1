//! bilberryfront serves long generations on engines that fail.
//!
//! One binary: daemons (`serve`) and the operators' command line. One thread owns all control state
//! ([`control`]), others carry requests and streams ([`traffic`]).

pub use bilberryfront_peer as peer;

pub mod catalogue;
pub mod cli;
pub mod command;
pub mod control;
pub mod explain;
pub mod error;
pub mod intents;
pub mod key;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod options;
pub mod output;
pub mod platform;
pub mod settings;
pub mod traffic;
