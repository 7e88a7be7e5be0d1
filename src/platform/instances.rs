//! Client for the platform's list of instances, which lags behind their actual state.

use {
    super::http::{Result, Service},
    bilberryfront_wire::instance::InstanceList,
};

/// Reads the current list.
pub async fn read(service: &Service) -> Result<InstanceList> {
    service.get("/instances").await
}
