//! Starts nodes and stand-ins as processes on one machine, and calls them as a caller does.
//!
//! Used by the demo, the measurements and the tests, not by the product.

pub mod caller;
pub mod certificates;
pub mod fleet;
pub mod http;
pub mod process;
