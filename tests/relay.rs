//! Requests through the relay, in the platform's spelling, with runners in memory on a paused clock.

#[path = "relay/calls.rs"]
mod calls;
#[path = "relay/drains.rs"]
mod drains;
#[path = "relay/faces.rs"]
mod faces;
#[path = "relay/limits.rs"]
mod limits;
#[path = "relay/pauses.rs"]
mod pauses;
#[path = "relay/streams.rs"]
mod streams;
#[path = "relay/support.rs"]
mod support;
