//! What became of a request, a runner or a catalogue, told from the log lines of any number of instances.

mod cause;
pub mod line;
pub mod story;
