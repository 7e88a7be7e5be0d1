//! Tests of routing, admission, queueing and the retry budget, all through [`Core::step`].
//!
//! [`Core::step`]: bilberryfront_decide::Core::step

#[path = "routing/admission.rs"]
mod admission;
#[path = "routing/affinity.rs"]
mod affinity;
#[path = "routing/budget.rs"]
mod budget;
#[path = "routing/differential.rs"]
mod differential;
#[path = "routing/queue.rs"]
mod queue;
#[path = "routing/runners.rs"]
mod runners;
#[path = "routing/fixture.rs"]
mod fixture;
