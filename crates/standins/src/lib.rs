//! Test doubles of the systems around bilberryfront: runners, plain services and the platform.
//!
//! Each is a small HTTP server into which faults can be injected (`POST /admin/faults`, see
//! [`faults::Faults`]). It runs inside a test ([`server::Handle`]) or as a program ([`main`]). The
//! stand-ins share the product's wire types and no other code.

mod cache;
pub mod fault_injector;
pub mod faults;
pub mod feed_store;
pub mod lagged;
pub mod list;
pub mod log;
mod program;
mod register;
pub mod rows;
pub mod runner;
pub mod server;
pub mod service;
pub mod slots;
mod stream;
pub mod table;
pub mod text;

pub use program::main;
