//! The operators' API for version moves.
//!
//! Every node provides it: the rows of all moves are in the table, which every node reads, and a
//! start is a conditional write that any node can perform.

use {
    super::{
        control::NodeHandle,
        key::Keys,
        message::{MoveAccepted, MoveReport, MoveRequest},
        refusal::Refusal,
        report::{id, report},
        server::{Result, answer, read},
    },
    bilberryfront_decide::mover::{Millis, MoveError, Start},
    compact_str::CompactString,
    http::HeaderMap,
    jiff::Timestamp,
    std::sync::Arc,
    volo_http::{
        request::Request,
        server::{
            param::PathParams,
            route::{Router, get, post},
        },
    },
};

/// The API for version moves of a node.
pub struct MovesApi {
    /// Accepted keys.
    pub keys: Keys,
    /// The node.
    pub node: NodeHandle,
}

/// Returns the router of the API for moves, without a fallback.
pub fn router(api: MovesApi) -> Router {
    let api = Arc::new(api);
    let all = {
        let (read, write) = (api.clone(), api.clone());
        get(move |request: Request| {
            let api = read.clone();
            async move { answer(api.list(request.headers()).await) }
        })
        .post(move |request: Request| {
            let api = write.clone();
            async move { answer(api.start(request).await) }
        })
    };
    let one = {
        let api = api.clone();
        get(move |PathParams(entry): PathParams<String>, request: Request| {
            let api = api.clone();
            async move { answer(api.status(&entry, request.headers()).await) }
        })
    };
    let undo = post(move |PathParams(entry): PathParams<String>, request: Request| {
        let api = api.clone();
        async move { answer(api.undo(&entry, request.headers()).await) }
    });
    Router::new()
        .route("/v1/moves", all)
        .route("/v1/moves/{entry}", one)
        .route("/v1/moves/{entry}/undo", undo)
}

impl MovesApi {
    async fn list(&self, headers: &HeaderMap) -> Result<Vec<MoveReport>> {
        self.authenticate(headers)?;
        let moves = self.node.control.moves().list().await;
        Ok(moves.into_iter().map(|s| report(&self.node, s)).collect())
    }

    async fn status(&self, entry: &str, headers: &HeaderMap) -> Result<MoveReport> {
        self.authenticate(headers)?;
        self.versions(entry)?;
        let moves = self.node.control.moves().list().await;
        let status = moves.into_iter().find(|s| s.moved.entry == entry);
        status.map(|s| report(&self.node, s)).ok_or_else(|| Refusal::NoMove(entry.into()))
    }

    async fn start(&self, request: Request) -> Result<MoveAccepted> {
        let who = self.authenticate(request.headers())?;
        let body = read(request.into_body()).await?;
        let requested = serde_json::from_slice::<MoveRequest>(&body)
            .map_err(|e| Refusal::Body(e.to_string()))?;
        let versions = self.versions(&requested.entry)?;
        if !versions.contains(&requested.to) {
            return Err(Refusal::NoVersion { to: requested.to, versions });
        }
        let MoveRequest { entry, to, by, weights, force } = requested;
        let by = by.from(Timestamp::now()).unwrap_or(Timestamp::MAX);
        let by = Millis::try_from(by.as_millisecond()).unwrap_or_default();
        let start = Start { entry: entry.clone(), to, by, weights, force };
        let moved = self.node.control.moves().start(start).await;
        let id = moved.map(id).map_err(|e| refusal(&entry, e))?;
        log::info!("version move {id} of {entry} started by {who}");
        Ok(MoveAccepted { id })
    }

    async fn undo(&self, entry: &str, headers: &HeaderMap) -> Result<MoveAccepted> {
        let who = self.authenticate(headers)?;
        self.versions(entry)?;
        let moved = self.node.control.moves().undo(entry.into()).await;
        let id = moved.map(id).map_err(|e| refusal(entry, e))?;
        log::info!("version move {id} of {entry} rolled back by {who}");
        Ok(MoveAccepted { id })
    }

    fn versions(&self, entry: &str) -> Result<Vec<CompactString>> {
        let view = self.node.control.view();
        let found = view.catalog.entries.values().find(|e| e.name == entry);
        match found {
            Some(found) => Ok(found.versions.clone()),
            None if view.catalog.revision == 0 => Err(Refusal::NoCatalog),
            None => Err(Refusal::NoEntry(entry.into())),
        }
    }

    fn authenticate(&self, headers: &HeaderMap) -> Result<CompactString> {
        self.keys.operator(headers).ok_or(Refusal::Key)
    }
}

fn refusal(entry: &str, error: MoveError) -> Refusal {
    match error {
        MoveError::NoEntry(entry) => Refusal::NoEntry(entry),
        MoveError::Table => Refusal::MoveUnknown,
        MoveError::Same(version) => Refusal::SameVersion(version),
        MoveError::Other(other) => Refusal::OtherMove(id(other)),
        MoveError::Over => Refusal::MoveOver(entry.into()),
        MoveError::Late(late) => Refusal::late(Timestamp::now(), late.earliest),
    }
}
