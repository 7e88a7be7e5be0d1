//! Deterministic decision core: processes [`Event`]s and returns typed [`Action`]s.
//!
//! This crate performs no I/O, spawns no tasks and reads no clock. The same seed and the same
//! sequence of timed events always produce the same actions, so benchmarks, differential tests and
//! scenarios can drive it without a runtime through [`Core::step`].

pub mod action;
pub mod admission;
mod budget;
mod cache;
pub mod catalog;
pub mod chart;
pub mod core;
pub mod event;
mod fleet;
pub mod generation;
pub mod id;
pub mod intent;
mod limits;
mod load;
pub mod member;
pub mod mover;
pub mod location;
mod queue;
mod route;
mod runner;

pub use crate::{action::Action, core::Core, event::Event, location::Location};
