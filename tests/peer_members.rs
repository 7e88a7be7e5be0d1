//! Membership over the peer protocol: nodes in one process, each with its own socket.

use {
    bilberryfront::peer::{PeerConfig, PeerNet, Received},
    bilberryfront_decide::{
        core::TICK,
        id::{Incarnation, Revision},
        member::{
            Me, Members, Output, PeerMessage,
            message::{CatalogPush, NodeIncarnation, NodeLocation},
        },
    },
    bilberryfront_wire::instance::{Instance, InstanceKind, InstanceList, InstanceState},
    compact_str::{CompactString, format_compact},
    rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair},
    std::net::Ipv4Addr,
    tokio::{
        sync::{mpsc, watch},
        task::JoinHandle,
        time::Instant,
    },
};

/// State that a test observes: number of addresses and catalogue revision.
type View = (usize, Revision);

/// A node with only membership and the peer connections, wired as in the control thread.
struct Node {
    net: PeerNet,
    events: mpsc::Receiver<Received>,
    members: Members,
    view: watch::Sender<View>,
}

impl Node {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK);
        loop {
            let mut out = Vec::new();
            tokio::select! {
                _ = ticks.tick() => self.members.tick(Instant::now(), &mut out),
                event = self.events.recv() => match event {
                    Some(event) => self.handle_event(&event, &mut out),
                    None => return,
                },
            }
            out.into_iter().for_each(|o| self.apply(o));
            self.view
                .send_replace((self.members.addresses().len(), self.members.revision().version));
        }
    }

    fn handle_event(&mut self, event: &Received, out: &mut Vec<Output>) {
        let now = Instant::now();
        match event {
            Received::Message { message: PeerMessage::CatalogPush(push), .. } => {
                self.members.set_revision(push.revision, out);
            }
            Received::Message { from, message } => self.members.receive(now, from, message, out),
            Received::Broken(name) => self.members.connection_failed(now, name, out),
        }
    }

    fn apply(&self, output: Output) {
        match output {
            Output::Send { to, message } => _ = self.net.send(&to, &message).unwrap(),
            Output::PushCatalog(to) => {
                let revision = self.members.revision();
                let push = CatalogPush { revision, doc: "{}".into() };
                self.net.send(&[to], &PeerMessage::CatalogPush(push)).unwrap();
            }
            Output::Changed { .. } | Output::Hint(_) => {}
        }
    }
}

fn name(i: usize) -> CompactString {
    format_compact!("entry-{i}")
}

fn location(net: &PeerNet) -> NodeLocation {
    let peer = net.address().unwrap().to_string();
    NodeLocation { domain: "a".into(), url: format_compact!("http://{peer}"), peer: peer.into() }
}

fn instance(name: &CompactString, location: &NodeLocation) -> Instance {
    Instance {
        name: name.clone(),
        kind: InstanceKind::Node,
        url: location.url.clone(),
        domain: location.domain.clone(),
        entry: "".into(),
        version: "".into(),
        state: InstanceState::Live,
        fenced: false,
        peer: Some(location.peer.clone()),
    }
}

/// Starts `n` nodes that all have the same list; node 0 has catalogue revision 1.
fn start(n: usize) -> Vec<(watch::Receiver<View>, JoinHandle<()>, PeerNet)> {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap();
    let net = |i| {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new([name(i).to_string()]).unwrap();
        let config = PeerConfig {
            name: name(i),
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            certificate: params.signed_by(&key, &authority).unwrap().pem().into_bytes(),
            key: key.serialize_pem().into_bytes(),
            authority: authority.pem().into_bytes(),
            ephemeral: true,
        };
        PeerNet::start(&config).unwrap()
    };
    let nets: Vec<_> = (0..n).map(net).collect();
    let instances = nets.iter().enumerate().map(|(i, (net, _))| instance(&name(i), &location(net)));
    let list = InstanceList { revision: 1, instances: instances.collect() };
    let start = |(i, (net, events)): (usize, (PeerNet, _))| {
        let life = NodeIncarnation { epoch: 1, incarnation: Incarnation(i as u64) };
        let now = Instant::now();
        let mut members =
            Members::new(i as u64, now, Me { name: name(i), life, location: location(&net) });
        members.apply_list(now, &list);
        members.ready();
        if i == 0 {
            members.set_revision(1.into(), &mut Vec::new());
        }
        let (view, observed) = watch::channel((0, 0));
        let node = Node { net: net.clone(), events, members, view };
        (observed, tokio::spawn(node.run()), net)
    };
    nets.into_iter().enumerate().map(start).collect()
}

// Guards against nodes that do not find each other from the list, a catalogue that does not spread,
// and a crashed node that stays in the address lists. The crashed node sends no leave message; the
// others detect its broken connections.
#[tokio::test]
async fn nodes_share_a_catalogue_and_remove_a_crashed_node() {
    let mut nodes = start(4);
    for (view, ..) in &mut nodes {
        view.wait_for(|v| *v == (4, 1)).await.unwrap();
    }
    let (_, task, net) = nodes.pop().unwrap();
    task.abort();
    net.close().await;
    for (view, ..) in &mut nodes {
        view.wait_for(|v| v.0 == 3).await.unwrap();
    }
}
