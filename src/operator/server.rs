//! Server of the operators' API.

use {
    super::{
        key::Keys,
        message::{Accepted, Nodes, Proposal},
        refusal::Refusal,
    },
    crate::{
        catalogue::store::{CatalogueRevision, Change, Outcome, Store},
        platform::table::Table,
    },
    bilberryfront_decide::id::Revision,
    bytes::Bytes,
    compact_str::CompactString,
    http::{HeaderMap, Response, header::CONTENT_TYPE},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    jiff::Timestamp,
    serde::Serialize,
    std::sync::Arc,
    volo_http::{
        body::Body,
        request::Request,
        server::route::{Router, get},
    },
};

/// A result whose error is a [`Refusal`].
pub type Result<T> = std::result::Result<T, Refusal>;

/// Maximum size of a body, in bytes; larger than the largest catalogue.
pub const MAX_BODY: usize = 16 << 20;
/// Number of changes in a response to `GET /v1/catalogue/history`.
const HISTORY_LIMIT: u32 = 50;

/// The operations that the API needs of the node.
pub trait Control: Send + Sync + 'static {
    /// Returns all known nodes, including this one.
    fn nodes(&self) -> Nodes;
    /// Returns the revision of the catalogue in force.
    fn revision(&self) -> Revision;
    /// Applies a catalogue that was just accepted, and sends it to peers; must not block.
    fn accepted(&self, numbered: CatalogueRevision);
}

/// The operators' API of a node.
pub struct OperatorApi<T, C> {
    /// Store of the catalogue.
    pub store: Store<T>,
    /// Accepted keys.
    pub keys: Keys,
    /// The node.
    pub control: C,
}

/// Returns the router of the API.
pub fn router<T: Table, C: Control>(api: OperatorApi<T, C>) -> Router {
    let api = Arc::new(api);
    let catalogue = {
        let (read, write) = (api.clone(), api.clone());
        get(move |request: Request| {
            let api = read.clone();
            async move { answer(api.catalogue(request.headers()).await) }
        })
        .put(move |request: Request| {
            let api = write.clone();
            async move { answer(api.put(request).await) }
        })
    };
    let history = {
        let api = api.clone();
        get(move |request: Request| {
            let api = api.clone();
            async move { answer(api.history(request.headers()).await) }
        })
    };
    let nodes = get(move |request: Request| {
        let api = api.clone();
        async move { answer(api.nodes(request.headers())) }
    });
    Router::new()
        .route("/v1/catalogue", catalogue)
        .route("/v1/catalogue/history", history)
        .route("/v1/nodes", nodes)
        .fallback(async || Refusal::Path.response())
}

impl<T: Table, C: Control> OperatorApi<T, C> {
    async fn catalogue(&self, headers: &HeaderMap) -> Result<CatalogueRevision> {
        self.authenticate(headers)?;
        Ok(self.store.get().await?)
    }

    async fn history(&self, headers: &HeaderMap) -> Result<impl Serialize> {
        self.authenticate(headers)?;
        Ok(self.store.history(HISTORY_LIMIT).await?)
    }

    fn nodes(&self, headers: &HeaderMap) -> Result<Nodes> {
        self.authenticate(headers)?;
        Ok(self.control.nodes())
    }

    async fn put(&self, request: Request) -> Result<Accepted> {
        let who = self.authenticate(request.headers())?;
        let body = read(request.into_body()).await?;
        let proposal =
            serde_json::from_slice::<Proposal>(&body).map_err(|e| Refusal::Body(e.to_string()))?;
        validate(&proposal)?;
        let Proposal { expect, apply, comment, catalogue } = proposal;
        // A restored table would assign the number of a revision that is in force.
        let now = self.control.revision();
        if expect < now {
            return Err(Refusal::Conflict { expect, now });
        }
        let change = Change { apply, who, when: Timestamp::now(), comment };
        match self.store.apply(&catalogue, expect, &change).await? {
            Outcome::Applied(revision) => {
                self.control.accepted(CatalogueRevision { revision, catalogue });
                Ok(Accepted { revision })
            }
            Outcome::Conflict(now) => Err(Refusal::Conflict { expect, now }),
        }
    }

    fn authenticate(&self, headers: &HeaderMap) -> Result<CompactString> {
        self.keys.operator(headers).ok_or(Refusal::Key)
    }
}

pub(super) async fn read(body: Body) -> Result<Bytes> {
    match Limited::new(body, MAX_BODY).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Refusal::Long(MAX_BODY)),
        Err(e) => Err(Refusal::Body(e.to_string())),
    }
}

fn validate(proposal: &Proposal) -> Result<()> {
    let faults = proposal.catalogue.check();
    match faults.is_empty() {
        true => Ok(()),
        false => Err(Refusal::Faults(faults.iter().map(ToString::to_string).collect())),
    }
}

pub(super) fn answer<A: Serialize>(result: Result<A>) -> Response<Body> {
    match result {
        Ok(answer) => {
            let body = serde_json::to_string(&answer).expect("answers always serialize");
            Response::builder()
                .header(CONTENT_TYPE, "application/json")
                .body(Body::from(body))
                .expect("the headers are valid")
        }
        Err(refusal) => refusal.response(),
    }
}
