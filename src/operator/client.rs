//! Client for the operators' API.

use {
    super::{
        message::{Accepted, MoveAccepted, MoveReport, MoveRequest, Nodes, Proposal},
        refusal::{CONFLICT, MOVE_UNKNOWN, STORE_DOWN, UNKNOWN},
    },
    crate::{
        catalogue::store::{CatalogueRevision, HistoryEntry},
        error::{Error, Result},
        platform::http::is_unsent,
    },
    bilberryfront_wire::problem::Problem,
    http::{Method, StatusCode, header::AUTHORIZATION},
    serde::de::DeserializeOwned,
    std::{fmt::Display, time::Duration},
    volo_http::{
        body::{Body, BodyConversion},
        client::Client,
        error::client::ClientError,
    },
};

/// Maximum time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time to wait for a response. The node may have to retry after lost replies of the
/// platform, and waits up to 20 s for the write of a move.
const TIMEOUT: Duration = Duration::from_secs(25);
/// Maximum number of times a proposal is sent if responses are lost.
const MAX_SENDS: u32 = 3;
/// Pause before a proposal is sent again, multiplied by the number of previous sends.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Client for the operators' API of a node.
pub struct NodeClient {
    url: String,
    key: String,
    client: Client,
}

impl NodeClient {
    /// Creates a client for the node at base URL `url` that authenticates with `key`.
    pub fn new(url: String, key: String) -> NodeClient {
        let mut builder = Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        let client = builder.build().expect("the client's configuration is constant");
        NodeClient { url, key, client }
    }

    /// Returns the latest catalogue.
    pub async fn catalogue(&self) -> Result<CatalogueRevision> {
        self.call(Method::GET, "/v1/catalogue", None).await
    }

    /// Returns the latest changes of the catalogue.
    pub async fn history(&self) -> Result<Vec<HistoryEntry>> {
        self.call(Method::GET, "/v1/catalogue/history", None).await
    }

    /// Returns all nodes known to the node.
    pub async fn nodes(&self) -> Result<Nodes> {
        self.call(Method::GET, "/v1/nodes", None).await
    }

    /// Applies a new catalogue.
    ///
    /// A response can be lost if the node stops after it accepted the change. Sending the same
    /// proposal again is safe: its apply id makes the store return the first outcome. After a lost
    /// response, the error "nothing was done" applies to the later send only and would mislead the
    /// operator, so the first error is returned unless a send is accepted or reports a conflict.
    pub async fn propose(&self, proposal: &Proposal) -> Result<Accepted> {
        let body = serde_json::to_string(proposal).expect("proposals always serialize");
        let mut first_error = None;
        for send in 1..=MAX_SENDS {
            match self.call(Method::PUT, "/v1/catalogue", Some(&body)).await {
                Ok(accepted) => return Ok(accepted),
                Err(error @ Error::Conflict { .. }) => return Err(error),
                Err(error @ (Error::Lost { .. } | Error::Unknown { .. })) => {
                    first_error.get_or_insert(error);
                }
                Err(error) if first_error.is_none() => return Err(error),
                Err(_) => {}
            }
            tokio::time::sleep(RETRY_PAUSE * send).await;
        }
        Err(first_error.expect("every other result of a send returns"))
    }

    /// Returns the status of the latest move of every entry.
    pub async fn moves(&self) -> Result<Vec<MoveReport>> {
        self.call(Method::GET, "/v1/moves", None).await
    }

    /// Returns the status of the latest move of an entry. Entry names need no escaping in paths.
    pub async fn move_of(&self, entry: &str) -> Result<MoveReport> {
        self.call(Method::GET, &format!("/v1/moves/{entry}"), None).await
    }

    /// Starts a move. Not retried after a lost response: the second request would conflict with the
    /// first.
    pub async fn start_move(&self, request: &MoveRequest) -> Result<MoveAccepted> {
        let body = serde_json::to_string(request).expect("requests always serialize");
        self.call(Method::POST, "/v1/moves", Some(&body)).await
    }

    /// Rolls back the move of an entry.
    pub async fn undo_move(&self, entry: &str) -> Result<MoveAccepted> {
        let path = format!("/v1/moves/{entry}/undo");
        self.call(Method::POST, &path, None).await
    }

    async fn call<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&str>,
    ) -> Result<A> {
        let request = self
            .client
            .request(method, format!("{}{path}", self.url))
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .body(body.map_or_else(Body::empty, |b| Body::from(b.to_owned())));
        let exchange = async {
            let response = request.send::<Body>().await.map_err(|e| self.failure(&e))?;
            let status = response.status();
            let bytes = response.into_body().into_bytes().await.map_err(|e| self.lost(e))?;
            match status {
                StatusCode::OK => serde_json::from_slice(&bytes).map_err(|e| self.lost(e)),
                _ => Err(self.refusal(status, &bytes)),
            }
        };
        match tokio::time::timeout(TIMEOUT, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(self.lost("no response in time")),
        }
    }

    fn refusal(&self, status: StatusCode, body: &[u8]) -> Error {
        let Ok(problem) = serde_json::from_slice::<Problem>(body) else {
            return self.lost(format!("got status {status} without a problem document"));
        };
        match problem.kind.as_str() {
            CONFLICT => Error::Conflict { detail: problem.detail },
            UNKNOWN => Error::Unknown { detail: problem.detail },
            MOVE_UNKNOWN => Error::MoveUnknown { detail: problem.detail },
            STORE_DOWN => Error::StoreDown {
                detail: problem.detail,
                seconds: problem.retry_after.unwrap_or(1),
            },
            _ => Error::Refused { title: problem.title.into(), detail: problem.detail },
        }
    }

    fn failure(&self, error: &ClientError) -> Error {
        match is_unsent(error) {
            true => Error::Unreachable { url: self.url.clone(), reason: error.to_string() },
            false => self.lost(error),
        }
    }

    fn lost(&self, reason: impl Display) -> Error {
        Error::Lost { url: self.url.clone(), reason: reason.to_string() }
    }
}
