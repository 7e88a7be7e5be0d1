//! Clients for the platform's services.

pub mod http;
pub mod instances;
pub mod table;
