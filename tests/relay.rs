//! Requests through the relay in the platform protocol, with in-memory runners on a paused clock.

#[path = "relay/brittle.rs"]
mod brittle;
#[path = "relay/calls.rs"]
mod calls;
#[path = "relay/control_requests.rs"]
mod control_requests;
#[path = "relay/crashes.rs"]
mod crashes;
#[path = "relay/drains.rs"]
mod drains;
#[path = "relay/endless.rs"]
mod endless;
#[path = "relay/endpoints.rs"]
mod endpoints;
#[path = "relay/ends.rs"]
mod ends;
#[path = "relay/engine.rs"]
mod engine;
#[path = "relay/extra_responses.rs"]
mod extra_responses;
#[path = "relay/handovers.rs"]
mod handovers;
#[path = "relay/limits.rs"]
mod limits;
#[path = "relay/lost_events.rs"]
mod lost_events;
#[path = "relay/operators.rs"]
mod operators;
#[path = "relay/overload.rs"]
mod overload;
#[path = "relay/paces.rs"]
mod paces;
#[path = "relay/partitions.rs"]
mod partitions;
#[path = "relay/pauses.rs"]
mod pauses;
#[path = "relay/races.rs"]
mod races;
#[path = "relay/retries.rs"]
mod retries;
#[path = "relay/rollouts.rs"]
mod rollouts;
#[path = "relay/silences.rs"]
mod silences;
#[path = "relay/streams.rs"]
mod streams;
#[path = "relay/support.rs"]
mod support;
