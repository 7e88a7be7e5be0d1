//! The decision core: state plus [`Event`]s in, typed [`Action`]s out.
//!
//! Nothing here opens a socket, reads a file, starts a task or asks the time. The same seed and the
//! same list of timed events give the same actions every time, so a bench, a differential test or a
//! scenario can drive it alone through [`Core::step`].

pub mod action;
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
