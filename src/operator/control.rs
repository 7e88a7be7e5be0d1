//! Access of the operators' API to a running node.

use {
    super::{
        message::{NodeRow, Nodes},
        server,
    },
    crate::{
        catalogue::store::CatalogueRevision,
        control::{Control, view::View},
    },
    bilberryfront_decide::{
        id::{Incarnation, Revision},
        member::{
            DrainState, Node,
            message::{NodeLocation, NodeState},
        },
    },
    compact_str::CompactString,
};

/// Handle to the node that serves the API.
#[derive(Clone)]
pub struct NodeHandle {
    /// Handle to the control thread.
    pub control: Control,
    /// Name of the node.
    pub name: CompactString,
    /// Identifies this run of the node.
    pub incarnation: Incarnation,
    /// Location and addresses of the node.
    pub location: NodeLocation,
}

impl server::Control for NodeHandle {
    fn nodes(&self) -> Nodes {
        let view = self.control.view();
        let others = view.nodes.iter().map(row);
        let mut rows: Vec<NodeRow> = others.chain([self.own(&view)]).collect();
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        Nodes { revision: view.catalog.revision, nodes: rows }
    }

    fn revision(&self) -> Revision {
        self.control.view().catalog.revision
    }

    fn accepted(&self, numbered: CatalogueRevision) {
        self.control.apply_catalog(numbered);
    }
}

impl NodeHandle {
    /// Returns the name of the node with this incarnation; `None` if it is no longer known.
    pub(super) fn name_of(&self, incarnation: Incarnation) -> Option<CompactString> {
        if incarnation == self.incarnation {
            return Some(self.name.clone());
        }
        let view = self.control.view();
        view.nodes.iter().find(|n| n.incarnation == incarnation).map(|n| n.name.clone())
    }

    fn own(&self, view: &View) -> NodeRow {
        let state = match view.drain {
            DrainState::Serving if view.ready => NodeState::Ready,
            DrainState::Serving => NodeState::Starting,
            DrainState::Leaving | DrainState::Refusing => NodeState::Draining,
            DrainState::Gone => NodeState::Gone,
        };
        let location = Some(self.location.clone());
        let revision = view.catalog.revision;
        let (name, incarnation) = (self.name.clone(), self.incarnation);
        row(&Node { name, incarnation, state, location, revision: revision.into() })
    }
}

fn row(node: &Node) -> NodeRow {
    let (domain, url) =
        node.location.as_ref().map(|p| (p.domain.clone(), p.url.clone())).unwrap_or_default();
    let state = CompactString::const_new(state_name(node.state));
    let revision = (node.revision.version > 0).then_some(node.revision.version);
    NodeRow { name: node.name.clone(), domain, url, state, revision }
}

fn state_name(state: NodeState) -> &'static str {
    match state {
        NodeState::Unknown => "unknown",
        NodeState::Starting => "starting",
        NodeState::Ready => "ready",
        NodeState::Draining => "leaving",
        NodeState::Suspect => "suspect",
        NodeState::Gone | NodeState::Forgotten => "gone",
    }
}
