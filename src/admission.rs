//! Limits of operators on the admission of requests, in the platform's store.

use {
    crate::error::{Error, Result},
    bilberryfront_decide::admission::throttle::{self, Limit, PREFIX, Subject},
    bilberryfront_peer::codec::THROTTLES_LIMIT,
    bilberryfront_relay::{
        catalog::Catalog,
        control::NODES_TABLE,
        records::Records,
        store::{Condition, Rows, Store, StoreError, Write},
    },
    compact_str::CompactString,
    jiff::Timestamp,
    serde::Serialize,
    std::net::SocketAddr,
};

/// A limit in force.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct LimitReport {
    /// Service.
    pub service: CompactString,
    /// `route=NAME` or `account=NAME`.
    pub subject: CompactString,
    /// Share of the requests that are admitted, from 0 to 1.
    pub share: f64,
    /// End.
    pub until: Timestamp,
    /// Reason given by the operator.
    pub reason: CompactString,
}

/// What a limit applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitKey {
    /// Service.
    pub service: CompactString,
    /// Route or account.
    pub subject: Subject,
}

/// A row that instances ignore.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IgnoredRow {
    /// Key.
    pub key: CompactString,
    /// Why it is not a limit.
    pub reason: String,
}

/// Client of the store for limits.
pub struct LimitStore<S, R> {
    /// Store.
    pub store: S,
    /// Decoder of the catalogue.
    pub records: R,
    /// Address of the store, for error messages.
    pub address: SocketAddr,
}

impl LimitReport {
    /// Returns the report of a limit; `None` if its end is not representable.
    pub fn new(limit: &Limit) -> Option<LimitReport> {
        let until = Timestamp::from_millisecond(i64::try_from(limit.until).ok()?).ok()?;
        Some(LimitReport {
            service: limit.service.clone(),
            subject: limit.subject.to_string().into(),
            share: limit.share,
            until,
            reason: limit.reason.clone(),
        })
    }
}

impl<S: Store, R: Records> LimitStore<S, R> {
    /// Writes a limit, which replaces an earlier one on the same subject, at the time `now`, in
    /// milliseconds since the Unix epoch. Instances hold a bounded number of limits.
    pub async fn limit(&self, limit: &Limit, now: u64) -> Result<()> {
        self.check_subject(limit).await?;
        let (key, subject) = (limit.key(), limit.subject.to_string());
        let (limits, _) = self.list(now).await?;
        let is_other = |other: &&LimitReport| {
            other.service != limit.service || other.subject.as_str() != subject
        };
        if limits.iter().filter(is_other).count() >= THROTTLES_LIMIT {
            return Err(Error::TooManyLimits { count: THROTTLES_LIMIT });
        }
        self.write(key, Some(limit.encode())).await
    }

    /// Deletes a limit.
    pub async fn lift(&self, limit: &LimitKey) -> Result<()> {
        let key = throttle::key(&limit.service, &limit.subject);
        let rows = self.read(NODES_TABLE).await?.rows;
        if !rows.iter().any(|row| row.key == key && row.value.is_some()) {
            let (service, subject) = (limit.service.clone(), limit.subject.to_string());
            return Err(Error::NoLimit { service, subject });
        }
        self.write(key, None).await
    }

    /// Returns the limits in force at the time `now`, in milliseconds since the Unix epoch, and the
    /// rows that instances ignore.
    pub async fn list(&self, now: u64) -> Result<(Vec<LimitReport>, Vec<IgnoredRow>)> {
        let (mut limits, mut ignored) = (Vec::new(), Vec::new());
        for row in self.read(NODES_TABLE).await?.rows {
            let Some(value) = row.value.filter(|_| row.key.starts_with(PREFIX)) else { continue };
            match Limit::parse(&row.key, &value) {
                Ok(limit) if limit.is_expired(now) => {}
                Ok(limit) => limits.extend(LimitReport::new(&limit)),
                Err(error) => ignored.push(IgnoredRow { key: row.key, reason: error.to_string() }),
            }
        }
        Ok((limits, ignored))
    }

    /// Checks that the catalogue has the service and the route or account. A limit with a misspelled
    /// name would have no effect. Not checked without a valid catalogue.
    async fn check_subject(&self, limit: &Limit) -> Result<()> {
        let rows = self.read(R::ORDERS).await?.rows;
        let row = rows.iter().find(|row| row.key == R::CATALOG);
        let value = row.and_then(|row| row.value.as_deref());
        let catalog = value.and_then(|value| self.records.parse_catalog(value).ok());
        match catalog.is_none_or(|catalog| has_subject(&catalog, limit)) {
            true => Ok(()),
            false => {
                let subject = limit.subject.to_string();
                Err(Error::NoSubject { service: limit.service.clone(), subject })
            }
        }
    }

    async fn read(&self, table: &str) -> Result<Rows> {
        self.store.read(table).await.map_err(|source| self.unavailable(source))
    }

    async fn write(&self, key: CompactString, value: Option<Vec<u8>>) -> Result<()> {
        let value = value.map(Into::into);
        let write = Write { table: NODES_TABLE.into(), key, value, condition: Condition::None };
        match self.store.write(&[write]).await {
            Ok(_) => Ok(()),
            Err(source @ StoreError::Lost(_)) => Err(Error::LimitUnknown { source }),
            Err(source) => Err(self.unavailable(source)),
        }
    }

    fn unavailable(&self, source: StoreError) -> Error {
        Error::StoreUnavailable { address: self.address, source }
    }
}

fn has_subject(catalog: &Catalog, limit: &Limit) -> bool {
    match &limit.subject {
        Subject::Route(name) => catalog.has_route(name, &limit.service),
        Subject::Account(name) => {
            catalog.services.contains_key(&limit.service) && catalog.has_account(name)
        }
    }
}
