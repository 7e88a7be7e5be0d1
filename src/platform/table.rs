//! Client for the platform's transactional table service.

use {
    super::http::{Result, Service},
    bilberryfront_wire::table::{Commit, Committed, Read, Rows, Scan},
};

/// The operations of the table service; tests replace it by a fake.
pub trait Table: Clone + Send + Sync + 'static {
    /// Writes rows conditionally.
    fn commit(&self, commit: &Commit) -> impl Future<Output = Result<Committed>> + Send;
    /// Reads rows by key.
    fn read(&self, read: &Read) -> impl Future<Output = Result<Rows>> + Send;
    /// Reads rows by key prefix.
    fn scan(&self, scan: &Scan) -> impl Future<Output = Result<Rows>> + Send;
}

/// The table service over HTTP.
#[derive(Clone)]
pub struct HttpTable {
    service: Service,
}

impl HttpTable {
    /// Creates a client for the table service.
    pub fn new(service: Service) -> HttpTable {
        HttpTable { service }
    }
}

impl Table for HttpTable {
    async fn commit(&self, commit: &Commit) -> Result<Committed> {
        self.service.post("/commit", commit).await
    }

    async fn read(&self, read: &Read) -> Result<Rows> {
        self.service.post("/read", read).await
    }

    async fn scan(&self, scan: &Scan) -> Result<Rows> {
        self.service.post("/scan", scan).await
    }
}
