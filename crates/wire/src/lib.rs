//! Types of the HTTP interfaces that bilberryfront offers to callers and uses of runners and the
//! platform.
//!
//! This crate holds types and constants only. The stand-ins share them with the product and share no
//! other code.

pub mod completion;
pub mod instance;
pub mod problem;
pub mod runner;
pub mod table;
