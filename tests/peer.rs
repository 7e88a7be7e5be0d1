//! Peer connections over loopback, with certificates generated for each test.

use {
    bilberryfront::peer::{
        Counts, PeerConfig, PeerError, PeerNet, Received,
        codec::{self, CONTROL_LIMIT, VERSION},
        tls,
    },
    bilberryfront_decide::{
        id::Incarnation,
        member::{
            PeerMessage, Target,
            message::{CatalogPush, Claim, Moment, NodeIncarnation, NodeState},
        },
    },
    quinn::{Connection, Endpoint},
    rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair},
    rustls::{ClientConfig, ClientConnection, HandshakeKind, ServerConfig, ServerConnection},
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        sync::mpsc::Receiver,
    },
};

type Authority = CertifiedIssuer<'static, KeyPair>;

fn authority() -> Authority {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap()
}

fn config(authority: &Authority, name: &str) -> PeerConfig {
    let key = KeyPair::generate().unwrap();
    let params = CertificateParams::new([name.to_string()]).unwrap();
    PeerConfig {
        name: name.into(),
        listen: (Ipv4Addr::LOCALHOST, 0).into(),
        certificate: params.signed_by(&key, authority).unwrap().pem().into_bytes(),
        key: key.serialize_pem().into_bytes(),
        authority: authority.pem().into_bytes(),
        ephemeral: false,
    }
}

fn start(authority: &Authority, name: &str) -> (PeerNet, Receiver<Received>, Target) {
    let (net, events) = PeerNet::start(&config(authority, name)).unwrap();
    let target = Target { name: name.into(), address: net.address().unwrap().to_string().into() };
    (net, events, target)
}

fn message(from: &str, message: PeerMessage) -> Option<Received> {
    Some(Received::Message { from: from.into(), message })
}

/// Opens a connection on which the test sends arbitrary bytes.
async fn dial(config: &PeerConfig, to: &Target) -> Connection {
    let endpoint = Endpoint::client((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let client = tls::identity(config).unwrap().client;
    let address: SocketAddr = to.address.parse().unwrap();
    endpoint.connect_with(client, address, &to.name).unwrap().await.unwrap()
}

async fn write(connection: &Connection, bytes: &[u8]) {
    let mut stream = connection.open_uni().await.unwrap();
    // The receiver may stop the stream before everything is written; some tests check this.
    _ = stream.write_all(bytes).await;
    _ = stream.finish();
    _ = stream.stopped().await;
}

async fn wait_until(net: &PeerNet, is_met: impl Fn(Counts) -> bool) {
    while !is_met(net.counts()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn two_nodes_exchange_messages() {
    let authority = authority();
    let (a, mut at_a, to_a) = start(&authority, "a");
    let (b, mut at_b, to_b) = start(&authority, "b");
    a.send(&[to_b], &PeerMessage::CatalogPull(1.into())).unwrap();
    assert_eq!(at_b.recv().await, message("a", PeerMessage::CatalogPull(1.into())));
    // Larger than the flow-control window of a stream, so it is written in parts.
    let doc = "x".repeat(5 << 20);
    let push = PeerMessage::CatalogPush(CatalogPush { revision: 2.into(), doc });
    b.send(&[to_a], &push).unwrap();
    assert_eq!(at_a.recv().await, message("b", push));
}

#[tokio::test]
async fn a_leave_message_arrives_before_the_process_exits() {
    let authority = authority();
    let (a, _at_a, _) = start(&authority, "a");
    let (_b, mut at_b, to_b) = start(&authority, "b");
    let life = NodeIncarnation { epoch: 1, incarnation: Incarnation(2) };
    let leave = PeerMessage::Leave(Moment { life, beat: 3 });
    a.send(&[to_b], &leave).unwrap();
    a.close().await;
    assert_eq!(at_b.recv().await, message("a", leave));
}

// Guards against a process that knows the addresses but has no certificate of the authority. The
// handshake fails on both sides, nothing reaches the control thread, and the node continues to
// work.
#[tokio::test]
async fn a_foreign_certificate_is_rejected() {
    let (ours, theirs) = (authority(), authority());
    let (a, mut at_a, to_a) = start(&ours, "a");
    let (b, mut at_b, _) = start(&theirs, "b");
    b.send(std::slice::from_ref(&to_a), &PeerMessage::Revision(9.into())).unwrap();
    assert_eq!(at_b.recv().await, Some(Received::Broken("a".into())));
    wait_until(&a, |c| c.refused > 0).await;
    let (c, _at_c, _) = start(&ours, "c");
    c.send(&[to_a], &PeerMessage::Revision(2.into())).unwrap();
    assert_eq!(at_a.recv().await, message("c", PeerMessage::Revision(2.into())));
}

// As above, but the client trusts our authority, so only the node's own check can reject it.
#[tokio::test]
async fn a_client_with_a_foreign_certificate_is_rejected() {
    let (ours, theirs) = (authority(), authority());
    let (a, mut at_a, to_a) = start(&ours, "a");
    let intruder = PeerConfig { authority: ours.pem().into_bytes(), ..config(&theirs, "c") };
    let (c, mut at_c) = PeerNet::start(&intruder).unwrap();
    c.send(std::slice::from_ref(&to_a), &PeerMessage::Revision(9.into())).unwrap();
    assert_eq!(at_c.recv().await, Some(Received::Broken("a".into())));
    wait_until(&a, |c| c.refused > 0).await;
    let (d, _at_d, _) = start(&ours, "d");
    d.send(&[to_a], &PeerMessage::Revision(2.into())).unwrap();
    assert_eq!(at_a.recv().await, message("d", PeerMessage::Revision(2.into())));
}

// Guards against messages to the wrong node when the list contains the address of `b` for `c`: the
// sender verifies the name before it sends anything.
#[tokio::test]
async fn a_node_at_the_address_of_another_receives_nothing() {
    let authority = authority();
    let (a, mut at_a, _) = start(&authority, "a");
    let (b, _at_b, to_b) = start(&authority, "b");
    let wrong = Target { name: "c".into(), ..to_b };
    a.send(&[wrong], &PeerMessage::Revision(9.into())).unwrap();
    assert_eq!(at_a.recv().await, Some(Received::Broken("c".into())));
    assert_eq!(b.counts().received, 0);
}

// Guards against a node with a valid certificate for `c` that sends a message as `b`, with which it
// could announce the shutdown of any other node. That message is dropped and counted; its message
// under its own name is accepted.
#[tokio::test]
async fn a_message_with_the_name_of_another_node_is_dropped() {
    let authority = authority();
    let (a, mut at_a, to_a) = start(&authority, "a");
    let c = dial(&config(&authority, "c"), &to_a).await;
    let forged = codec::encode(&"b".into(), &PeerMessage::Revision(9.into())).unwrap();
    write(&c, &forged.bytes).await;
    let own = codec::encode(&"c".into(), &PeerMessage::Revision(2.into())).unwrap();
    write(&c, &own.bytes).await;
    assert_eq!(at_a.recv().await, message("c", PeerMessage::Revision(2.into())));
    wait_until(&a, |c| c.refused == 1).await;
}

// Guards against memory exhaustion by an oversized message or a catalogue that was not requested.
// Both streams are stopped early; other messages from the same and from other nodes are received.
#[tokio::test]
async fn oversized_and_unrequested_messages_are_rejected() {
    let authority = authority();
    let (a, mut at_a, to_a) = start(&authority, "a");
    let c = dial(&config(&authority, "c"), &to_a).await;
    write(&c, &[&[VERSION, 0][..], &vec![0; CONTROL_LIMIT]].concat()).await;
    let push = PeerMessage::CatalogPush(CatalogPush { revision: 9.into(), doc: "{}".into() });
    write(&c, &codec::encode(&"c".into(), &push).unwrap().bytes).await;
    wait_until(&a, |c| c.refused == 2).await;
    let pull = codec::encode(&"c".into(), &PeerMessage::MembersPull).unwrap();
    write(&c, &pull.bytes).await;
    assert_eq!(at_a.recv().await, message("c", PeerMessage::MembersPull));
    let (d, _at_d, _) = start(&authority, "d");
    d.send(&[to_a], &PeerMessage::Revision(2.into())).unwrap();
    assert_eq!(at_a.recv().await, message("d", PeerMessage::Revision(2.into())));
}

// Guards against a stuck node that delays messages to others. It accepts connections but never
// reads a stream, so that after a while no stream can be opened to it. Messages to it are dropped
// after a bounded wait; those to another node, queued after them, all arrive.
#[tokio::test]
async fn a_node_that_never_reads_delays_no_other() {
    let authority = authority();
    let stuck = config(&authority, "stuck");
    let server = tls::identity(&stuck).unwrap().server;
    let endpoint = Endpoint::server(server, stuck.listen).unwrap();
    let address = endpoint.local_addr().unwrap().to_string().into();
    let to_stuck = Target { name: "stuck".into(), address };
    tokio::spawn(async move {
        let mut connections = Vec::new();
        while let Some(incoming) = endpoint.accept().await {
            connections.push(incoming.await);
        }
    });
    let (a, mut at_a, _) = start(&authority, "a");
    let (_b, mut at_b, to_b) = start(&authority, "b");
    let moment =
        Moment { life: NodeIncarnation { epoch: 1, incarnation: Incarnation(2) }, beat: 3 };
    let claim = Claim { name: "n".into(), moment, state: NodeState::Ready, location: None };
    let large = PeerMessage::MembersPush(vec![claim; 2_000]);
    for _ in 0..200 {
        a.send(std::slice::from_ref(&to_stuck), &large).unwrap();
    }
    for revision in 0..20 {
        a.send(std::slice::from_ref(&to_b), &PeerMessage::Revision(revision.into())).unwrap();
    }
    for _ in 0..20 {
        assert!(matches!(at_b.recv().await, Some(Received::Message { .. })));
    }
    assert_eq!(at_a.recv().await, Some(Received::Broken("stuck".into())));
    wait_until(&a, |c| c.dropped > 0).await;
}

// Guards against a crashed node that is noticed only by its silence: a send to an address at which
// no process listens reports a broken connection.
#[tokio::test]
async fn a_crashed_node_is_reported_as_broken() {
    let authority = authority();
    let (a, mut at_a, _) = start(&authority, "a");
    let (b, mut at_b, to_b) = start(&authority, "b");
    a.send(std::slice::from_ref(&to_b), &PeerMessage::Revision(1.into())).unwrap();
    assert_eq!(at_b.recv().await, message("a", PeerMessage::Revision(1.into())));
    b.close().await;
    assert_eq!(at_a.recv().await, Some(Received::Broken("b".into())));
}

#[tokio::test]
async fn another_nodes_certificate_is_rejected_at_start() {
    let mut config = config(&authority(), "a");
    config.name = "b".into();
    assert!(matches!(PeerNet::start(&config), Err(PeerError::Name { .. })));
}

#[tokio::test]
async fn a_key_of_another_certificate_is_rejected_at_start() {
    let mut config = config(&authority(), "a");
    config.key = KeyPair::generate().unwrap().serialize_pem().into_bytes();
    assert!(matches!(PeerNet::start(&config), Err(PeerError::Tls(_))));
    config.key = b"not a key".to_vec();
    assert!(matches!(PeerNet::start(&config), Err(PeerError::Pem { part: "key", .. })));
}

#[tokio::test]
async fn an_occupied_port_is_reported() {
    let authority = authority();
    let (a, _at_a, _) = start(&authority, "a");
    let mut config = config(&authority, "b");
    config.listen = a.address().unwrap();
    assert!(matches!(PeerNet::start(&config), Err(PeerError::Listen { .. })));
}

/// Guards against a delayed reply to a node that was down for seconds and that could not be reached
/// meanwhile. Once it is back and sends a message, it must be answered at once: either node may
/// need to request what it missed, while an old catalogue causes rejections.
#[tokio::test]
async fn a_node_that_is_up_again_is_answered_at_once() {
    let authority = authority();
    let (a, mut at_a, to_a) = start(&authority, "a");
    let mut later = config(&authority, "b");
    // Bound and closed, so that the address stays free until the node starts there.
    later.listen =
        std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap();
    let to_b = Target { name: "b".into(), address: later.listen.to_string().into() };
    // Several messages, so that another handshake is in progress when the first one has failed.
    for _ in 0..5 {
        a.send(std::slice::from_ref(&to_b), &PeerMessage::MembersPull).unwrap();
    }
    tokio::time::sleep(Duration::from_millis(2_300)).await;
    let (b, mut at_b) = PeerNet::start(&later).unwrap();
    b.send(&[to_a], &PeerMessage::CatalogPull(1.into())).unwrap();
    while !matches!(at_a.recv().await, Some(Received::Message { .. })) {}
    let start = tokio::time::Instant::now();
    a.send(&[to_b], &PeerMessage::CatalogPull(2.into())).unwrap();
    wait_for(&mut at_b, PeerMessage::CatalogPull(2.into())).await;
    let took = start.elapsed();
    assert!(took < Duration::from_millis(300), "took {took:?}");
}

/// Guards against messages that are lost on an old connection when a node is killed and restarted
/// at its address without closing its connections. Messages sent after it has connected must reach
/// the new process.
#[tokio::test]
async fn a_restarted_process_receives_new_messages() {
    let authority = authority();
    let first = config(&authority, "b");
    restart_peer(&config(&authority, "a"), clone(&first), first, Duration::from_millis(1_100))
        .await;
}

/// Guards against messages that are lost because a restarted process is mistaken for the former one:
/// its certificate is another one, however short the former one has run.
#[tokio::test]
async fn a_process_that_restarts_soon_receives_new_messages() {
    let authority = authority();
    let config = |name| PeerConfig { ephemeral: true, ..config(&authority, name) };
    restart_peer(&config("a"), config("b"), config("b"), Duration::from_millis(100)).await;
}

/// Starts node `b` with the first configuration, restarts it after `time` with the second one, and
/// checks that a message of `a` reaches it soon after it has sent one.
async fn restart_peer(
    a: &PeerConfig,
    mut first: PeerConfig,
    mut second: PeerConfig,
    time: Duration,
) {
    let (a, mut at_a) = PeerNet::start(a).unwrap();
    let to_a = Target { name: "a".into(), address: a.address().unwrap().to_string().into() };
    // Its socket is closed without a close frame on its connections.
    first.listen =
        std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap();
    second.listen = first.listen;
    let to_b = Target { name: "b".into(), address: first.listen.to_string().into() };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    let started = runtime.spawn(async move { PeerNet::start(&first).unwrap() });
    let (old, mut at_old) = started.await.unwrap();
    a.send(std::slice::from_ref(&to_b), &PeerMessage::CatalogPull(1.into())).unwrap();
    assert_eq!(at_old.recv().await, message("a", PeerMessage::CatalogPull(1.into())));
    tokio::time::sleep(time).await;
    // The shutdown of the runtime stops the tasks of the process, including its socket, wherever
    // they are.
    runtime.shutdown_background();
    drop((old, at_old));
    let (b, mut at_b) = restart(&second).await;
    b.send(&[to_a], &PeerMessage::CatalogPull(2.into())).unwrap();
    while !matches!(at_a.recv().await, Some(Received::Message { .. })) {}
    let start = tokio::time::Instant::now();
    a.send(&[to_b], &PeerMessage::CatalogPull(3.into())).unwrap();
    wait_for(&mut at_b, PeerMessage::CatalogPull(3.into())).await;
    let took = start.elapsed();
    assert!(took < Duration::from_millis(300), "took {took:?}");
}

/// Guards against a handshake for each message: nodes that write to each other less than once a second
/// took the other's new connection for a restart, each in turn.
#[tokio::test]
async fn nodes_that_write_rarely_keep_their_connections() {
    let authority = authority();
    let config = |name| PeerConfig { ephemeral: true, ..config(&authority, name) };
    let (a, mut at_a) = PeerNet::start(&config("a")).unwrap();
    let (b, mut at_b) = PeerNet::start(&config("b")).unwrap();
    let target = |name: &str, net: &PeerNet| Target {
        name: name.into(),
        address: net.address().unwrap().to_string().into(),
    };
    let (to_a, to_b) = (target("a", &a), target("b", &b));
    for number in 1..=3 {
        let pull = || PeerMessage::CatalogPull(number.into());
        a.send(std::slice::from_ref(&to_b), &pull()).unwrap();
        assert_eq!(at_b.recv().await, message("a", pull()));
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        b.send(std::slice::from_ref(&to_a), &pull()).unwrap();
        assert_eq!(at_a.recv().await, message("b", pull()));
        tokio::time::sleep(Duration::from_millis(1_100)).await;
    }
    assert_eq!((a.counts().connected, b.counts().connected), (1, 1));
}

/// Guards against full handshakes in a large system: sessions are resumed however many other nodes have
/// connected since.
#[test]
fn sessions_of_many_nodes_are_resumed() {
    const CLIENTS: usize = 100;
    const SERVERS: usize = 64;
    let authority = authority();
    let configs = |name: &str| tls::configs(&config(&authority, name)).unwrap();
    let shared =
        |(server, client): (ServerConfig, ClientConfig)| (Arc::new(server), Arc::new(client));
    let (server, client) = shared(configs("hub"));
    let names: Vec<String> = (0..CLIENTS).map(|index| format!("n{index}")).collect();
    let nodes: Vec<_> = names.iter().map(|name| shared(configs(name))).collect();
    for expected in [HandshakeKind::Full, HandshakeKind::Resumed] {
        for (name, (_, node)) in names.iter().zip(&nodes) {
            assert_eq!(handshake(node, &server, "hub"), expected, "from {name}");
        }
        for (name, (node, _)) in names.iter().zip(&nodes).take(SERVERS) {
            assert_eq!(handshake(&client, node, name), expected, "to {name}");
        }
    }
}

/// Performs a handshake in memory, up to the ticket for the next one.
fn handshake(client: &Arc<ClientConfig>, server: &Arc<ServerConfig>, name: &str) -> HandshakeKind {
    let name = name.to_owned().try_into().unwrap();
    let mut client = ClientConnection::new(client.clone(), name).unwrap();
    let mut server = ServerConnection::new(server.clone()).unwrap();
    while client.wants_write() || server.wants_write() {
        let mut bytes = Vec::new();
        client.write_tls(&mut bytes).unwrap();
        server.read_tls(&mut bytes.as_slice()).unwrap();
        server.process_new_packets().unwrap();
        bytes.clear();
        server.write_tls(&mut bytes).unwrap();
        client.read_tls(&mut bytes.as_slice()).unwrap();
        client.process_new_packets().unwrap();
    }
    client.handshake_kind().unwrap()
}

/// Guards against a connection through another node that looks complete because the future that carried it was
/// dropped.
#[tokio::test]
async fn tunnel_ends_only_when_it_is_shut_down() {
    let authority = authority();
    let (a, _events, _) = start(&authority, "a");
    let (b, _events, target) = start(&authority, "b");
    let mut accepted = b.accept_tunnels();
    for is_shut_down in [true, false] {
        for is_opener in [true, false] {
            let address = target.address.parse().unwrap();
            let mut opened = a.open_tunnel(&target.name, address).await.unwrap();
            opened.write_all(b"request").await.unwrap();
            let mut other = accepted.recv().await.unwrap();
            other.read_exact(&mut [0; 7]).await.unwrap();
            let (mut writer, mut reader) =
                if is_opener { (opened, other) } else { (other, opened) };
            writer.write_all(b"part").await.unwrap();
            reader.read_exact(&mut [0; 4]).await.unwrap();
            if is_shut_down {
                writer.write_all(b"rest").await.unwrap();
                writer.shutdown().await.unwrap();
            }
            drop(writer);
            let mut rest = Vec::new();
            let read = reader.read_to_end(&mut rest).await;
            assert_eq!(read.is_ok(), is_shut_down, "opener: {is_opener}, read: {read:?}");
            assert_eq!(rest, if is_shut_down { b"rest".as_slice() } else { b"" });
        }
    }
}

/// Waits until this message of the node `a` is received, for ten seconds at most.
async fn wait_for(events: &mut Receiver<Received>, expected: PeerMessage) {
    let expected = message("a", expected);
    let receive = async { while events.recv().await != expected {} };
    tokio::time::timeout(Duration::from_secs(10), receive)
        .await
        .expect("the message was not received within 10 s");
}

fn clone(config: &PeerConfig) -> PeerConfig {
    PeerConfig {
        name: config.name.clone(),
        listen: config.listen,
        certificate: config.certificate.clone(),
        key: config.key.clone(),
        authority: config.authority.clone(),
        ephemeral: config.ephemeral,
    }
}

/// Starts a node at an address that its former process may not have released yet.
async fn restart(config: &PeerConfig) -> (PeerNet, Receiver<Received>) {
    loop {
        match PeerNet::start(config) {
            Ok(started) => return started,
            Err(PeerError::Listen { .. }) => {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            Err(other) => panic!("{other}"),
        }
    }
}
