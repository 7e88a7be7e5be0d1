//! The server side of the operators' face.

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

/// Longest body: the largest catalogue with room to spare.
pub const MAX_BODY: usize = 16 << 20;
/// Changes in an answer to `GET /v1/catalogue/history`.
const HISTORY: u32 = 50;

/// What the face needs of the node that it stands on.
pub trait Control: Send + Sync + 'static {
    /// Every node that this one knows of, itself included.
    fn nodes(&self) -> Nodes;
    /// Takes a catalogue that was just accepted, and tells peers; must not block.
    fn accepted(&self, numbered: CatalogueRevision);
}

/// The operators' face of a node.
pub struct OperatorApi<T, C> {
    /// The catalogue.
    pub store: Store<T>,
    /// Keys that may be used.
    pub keys: Keys,
    /// The node.
    pub control: C,
}

/// The face's routes.
pub fn router<T: Table, C: Control>(face: OperatorApi<T, C>) -> Router {
    let face = Arc::new(face);
    let catalogue = {
        let (read, write) = (face.clone(), face.clone());
        get(move |request: Request| {
            let face = read.clone();
            async move { answer(face.catalogue(request.headers()).await) }
        })
        .put(move |request: Request| {
            let face = write.clone();
            async move { answer(face.put(request).await) }
        })
    };
    let history = {
        let face = face.clone();
        get(move |request: Request| {
            let face = face.clone();
            async move { answer(face.history(request.headers()).await) }
        })
    };
    let nodes = get(move |request: Request| {
        let face = face.clone();
        async move { answer(face.nodes(request.headers())) }
    });
    Router::new()
        .route("/v1/catalogue", catalogue)
        .route("/v1/catalogue/history", history)
        .route("/v1/nodes", nodes)
        .fallback(async || Refusal::Path.response())
}

impl<T: Table, C: Control> OperatorApi<T, C> {
    async fn catalogue(&self, headers: &HeaderMap) -> Result<CatalogueRevision> {
        self.operator(headers)?;
        Ok(self.store.get().await?)
    }

    async fn history(&self, headers: &HeaderMap) -> Result<impl Serialize> {
        self.operator(headers)?;
        Ok(self.store.history(HISTORY).await?)
    }

    fn nodes(&self, headers: &HeaderMap) -> Result<Nodes> {
        self.operator(headers)?;
        Ok(self.control.nodes())
    }

    async fn put(&self, request: Request) -> Result<Accepted> {
        let who = self.operator(request.headers())?;
        let body = read(request.into_body()).await?;
        let proposal =
            serde_json::from_slice::<Proposal>(&body).map_err(|e| Refusal::Body(e.to_string()))?;
        check(&proposal)?;
        let Proposal { expect, apply, comment, catalogue } = proposal;
        let change = Change { apply, who, when: Timestamp::now(), comment };
        match self.store.apply(&catalogue, expect, &change).await? {
            Outcome::Applied(revision) => {
                self.control.accepted(CatalogueRevision { revision, catalogue });
                Ok(Accepted { revision })
            }
            Outcome::Conflict(now) => Err(Refusal::Conflict { expect, now }),
        }
    }

    fn operator(&self, headers: &HeaderMap) -> Result<CompactString> {
        self.keys.holder(headers).ok_or(Refusal::Key)
    }
}

pub(super) async fn read(body: Body) -> Result<Bytes> {
    match Limited::new(body, MAX_BODY).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Refusal::Long(MAX_BODY)),
        Err(e) => Err(Refusal::Body(e.to_string())),
    }
}

fn check(proposal: &Proposal) -> Result<()> {
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
