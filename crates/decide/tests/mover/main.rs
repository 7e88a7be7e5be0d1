//! Tests of version moves: properties, a differential test against a reference log, and scenarios.

mod differential;
mod drive;
mod fake;
mod lattice;
mod parts;
mod scenarios;
mod store;
