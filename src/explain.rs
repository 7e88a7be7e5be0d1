//! Reconstructs the history of a request, runner or catalogue from the logs of any number of
//! instances.

mod cause;
pub mod line;
pub mod history;
