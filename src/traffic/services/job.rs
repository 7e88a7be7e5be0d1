//! A caller's call to a plain service.

use {
    super::Result,
    crate::{
        control::view::View,
        intents::{Call, call},
        traffic::{
            access, body,
            chooser::Chooser,
            problem::{Kind as ProblemKind, not_run},
            send::Outgoing,
        },
    },
    bilberryfront_decide::{
        catalog::{Catalog, Kind, Limits},
        event::{Purpose, RunnerRequest},
        id::{AccountKey, EntryKey, RunnerKey, Ticket},
    },
    bytes::Bytes,
    compact_str::{CompactString, format_compact},
    http::{
        HeaderMap, HeaderValue, Method,
        header::{AUTHORIZATION, HeaderName},
        request::Parts,
    },
    volo_http::body::Body,
};

/// Prefix of the paths of calls to services.
const PREFIX: &str = "/v1/services/";
/// Header with the account of the call, for the service.
const ACCOUNT: HeaderName = HeaderName::from_static("bilberryfront-account");

/// A received and validated call.
#[derive(Clone, Debug)]
pub struct Job {
    /// Limits of the entry.
    pub limits: Limits,
    entry: EntryKey,
    account: AccountKey,
    names: Names,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

#[derive(Clone, Debug)]
struct Names {
    entry: CompactString,
    account: CompactString,
}

impl Job {
    /// Receives and validates a call.
    pub async fn read(
        catalog: &Catalog,
        account: AccountKey,
        head: &Parts,
        body: Body,
    ) -> Result<Job> {
        // It asks for a tunnel: its response would have no body.
        if head.method == Method::CONNECT {
            return Err(not_run(ProblemKind::BadRequest, "CONNECT is not passed on to services"));
        }
        let (name, path) = split(head)?;
        let (key, entry) = access::find(catalog, account, name, Kind::Service)?;
        let names = Names { entry: name.into(), account: catalog.accounts[account].name.clone() };
        let mut headers = head.headers.clone();
        // The caller's key must not be passed to services.
        headers.remove(AUTHORIZATION);
        let value = HeaderValue::from_str(&names.account);
        headers.insert(ACCOUNT, value.unwrap_or(HeaderValue::from_static("unnamed")));
        Ok(Job {
            limits: entry.limits,
            entry: key,
            account,
            names,
            method: head.method.clone(),
            path,
            headers,
            body: body::read(body, entry.limits.body_bytes).await?,
        })
    }

    /// Returns the call for the runner at `url`.
    pub fn outgoing(&self, url: &str) -> Outgoing {
        Outgoing {
            method: self.method.clone(),
            url: format!("{url}{}", self.path),
            headers: self.headers.clone(),
            body: self.body.clone(),
        }
    }

    /// Returns the request to the core for a runner of the call.
    pub fn runner_request(
        &self,
        ticket: Ticket,
        purpose: Purpose,
        avoid: Option<RunnerKey>,
        pin: Option<CompactString>,
    ) -> RunnerRequest {
        let (entry, account) = (self.entry, self.account);
        RunnerRequest { ticket, entry, account, prefix: None, pin, avoid, purpose }
    }

    /// Chooses the version for the call.
    pub fn chooser(&self, view: &View) -> Chooser {
        let first = self.path.split(['/', '?']).nth(1).unwrap_or_default();
        let route = format_compact!("{} /{first}", self.method);
        Chooser::new(view, self.entry, self.account, route, rand::random())
    }

    /// Returns the identity under which the call runs at most once.
    pub fn call(&self, key: CompactString) -> Call {
        Call {
            account: self.names.account.clone(),
            entry: self.names.entry.clone(),
            key,
            digest: call::digest(self.method.as_str(), &self.path, &self.body),
        }
    }
}

/// Splits the path into the entry's name and the path and query for its runner.
fn split(head: &Parts) -> Result<(&str, String)> {
    let bad_path = || not_run(ProblemKind::BadRequest, "the path is /v1/services/ENTRY/PATH");
    let rest = head.uri.path().strip_prefix(PREFIX).ok_or_else(bad_path)?;
    let (name, path) = rest.split_once('/').ok_or_else(bad_path)?;
    let query = head.uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    Ok((name, format!("/{path}{query}")))
}
