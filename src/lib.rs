//! bilberryfront serves long generations on engines that can fail.
//!
//! A single binary contains the daemons (`serve`, `relay`) and the operators' command line. One thread owns all
//! control state ([`control`]); other threads handle requests and streams ([`traffic`]).

pub use bilberryfront_peer as peer;

pub mod admission;
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
