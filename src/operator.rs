//! HTTP API for operators: the server in a node and the client of the command line.
//!
//! - `GET /v1/catalogue`: the latest catalogue, [`crate::catalogue::store::CatalogueRevision`].
//! - `PUT /v1/catalogue` with [`message::Proposal`]: [`message::Accepted`], or a problem.
//! - `GET /v1/catalogue/history`: a list of [`crate::catalogue::store::HistoryEntry`], newest first.
//! - `GET /v1/nodes`: [`message::Nodes`].
//! - `POST /v1/moves` with [`message::MoveRequest`]: [`message::MoveAccepted`], or a problem.
//! - `GET /v1/moves`: a list of [`message::MoveReport`].
//! - `GET /v1/moves/{entry}`: [`message::MoveReport`].
//! - `POST /v1/moves/{entry}/undo`: [`message::MoveAccepted`], or a problem.
//!
//! Each request must have the header `Authorization: Bearer KEY`. Every error response is a problem
//! document.

pub mod client;
pub mod control;
pub mod deadline;
pub mod key;
pub mod message;
pub mod moves;
pub mod refusal;
mod report;
pub mod server;

pub use server::{Control, OperatorApi, router};
