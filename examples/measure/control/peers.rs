//! Cost of messages and connections over QUIC and TLS, with both ends in this process.

use {
    super::{spent, state::heartbeat},
    crate::process::own_resident,
    bilberryfront::peer::{PeerConfig, PeerNet, Received},
    bilberryfront_decide::member::{
        PeerMessage, Target,
        message::{CatalogPush, NodeLocation},
    },
    bilberryfront_harness::certificates::Authority,
    compact_str::{CompactString, format_compact},
    std::{fs, io, net::Ipv4Addr, path::Path, time::Duration},
    tempfile::TempDir,
    tokio::{
        runtime::Builder,
        sync::mpsc::Receiver,
        time::{Instant, sleep, timeout},
    },
};

/// Number of messages in a series.
const MESSAGES: u32 = 5_000;
/// Number of messages in a slow series, and the interval between them.
const SLOW_SERIES: (u32, Duration) = (1_000, Duration::from_millis(4));
/// Number of catalogues in a series.
const CATALOGUES: u32 = 100;
/// Number of connections opened by one node.
const CONNECTIONS: usize = 100;
/// Maximum wait for a message; heartbeats are datagrams and may be lost.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);

type PeerEndpoint = (PeerNet, Receiver<Received>, Target);

pub(super) fn run() -> io::Result<()> {
    // A single thread, because a node runs its control functions on one.
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let folder = TempDir::new()?;
        let authority = Authority::new();
        println!("\npeer messages, processor time of both ends together:");
        measure_messages(&authority, folder.path()).await?;
        measure_connections(&authority, folder.path()).await
    })
}

async fn measure_messages(authority: &Authority, folder: &Path) -> io::Result<()> {
    let (from, mut asked, back) = start_peer(authority, folder, "a")?;
    let (to, mut events, target) = start_peer(authority, folder, "b")?;
    let location = NodeLocation {
        domain: "east-mids-1".into(),
        url: "http://10.1.0.1:8080".into(),
        peer: "10.1.0.1:7000".into(),
    };
    let heartbeat = PeerMessage::Heartbeat(heartbeat(1, location));
    let bytes =
        bilberryfront::peer::codec::encode(&"a".into(), &heartbeat).map_err(io::Error::other)?;
    let push =
        PeerMessage::CatalogPush(CatalogPush { revision: 2.into(), doc: "x".repeat(150 << 10) });
    let target = [target];
    send_and_receive(
        &from,
        &mut events,
        &target,
        &PeerMessage::Revision(1.into()),
        10,
        Duration::ZERO,
    )
    .await?;
    let idle = spent(async {
        let start = Instant::now();
        for n in 1..=SLOW_SERIES.0 {
            tokio::time::sleep_until(start + SLOW_SERIES.1 * n).await;
        }
        Ok(())
    });
    let idle = idle.await? / f64::from(SLOW_SERIES.0);
    let series = [
        ("heartbeat (datagram), one after the other", &heartbeat, MESSAGES, Duration::ZERO),
        ("heartbeat (datagram), one per 4 ms", &heartbeat, SLOW_SERIES.0, SLOW_SERIES.1),
        (
            "revision (own stream), one per 4 ms",
            &PeerMessage::Revision(1.into()),
            SLOW_SERIES.0,
            SLOW_SERIES.1,
        ),
    ];
    println!("a heartbeat has {} bytes without QUIC", bytes.bytes.len());
    for (name, message, count, pause) in series {
        let mut lost = 0;
        let act = async {
            lost = send_and_receive(&from, &mut events, &target, message, count, pause).await?;
            Ok(())
        };
        let mut each = spent(act).await? / f64::from(count);
        if !pause.is_zero() {
            each -= idle;
        }
        println!("{name}: {each:.1} µs per message, {lost} of {count} lost");
    }
    let (pull, back) = (PeerMessage::CatalogPull(2.into()), [back]);
    let act = async {
        for _ in 0..CATALOGUES {
            send_and_receive(&to, &mut asked, &back, &pull, 1, Duration::ZERO).await?;
            send_and_receive(&from, &mut events, &target, &push, 1, Duration::ZERO).await?;
        }
        Ok(())
    };
    let each = spent(act).await? / f64::from(CATALOGUES);
    println!("a catalogue of 150 KiB, requested and sent: {each:.0} µs");
    Ok(())
}

/// Sends a message `count` times and waits for each; returns how many were lost.
async fn send_and_receive(
    from: &PeerNet,
    events: &mut Receiver<Received>,
    to: &[Target],
    message: &PeerMessage,
    count: u32,
    pause: Duration,
) -> io::Result<u32> {
    let mut lost = 0;
    for _ in 0..count {
        if !pause.is_zero() {
            sleep(pause).await;
        }
        from.send(to, message).map_err(io::Error::other)?;
        lost += u32::from(timeout(RECEIVE_TIMEOUT, events.recv()).await.is_err());
    }
    Ok(lost)
}

async fn measure_connections(authority: &Authority, folder: &Path) -> io::Result<()> {
    let (from, _events, _) = start_peer(authority, folder, "hub")?;
    let name = |i: usize| format_compact!("spoke-{i}");
    let spokes = (0..CONNECTIONS).map(|i| start_peer(authority, folder, &name(i)));
    let mut spokes = spokes.collect::<io::Result<Vec<PeerEndpoint>>>()?;
    let targets = spokes.iter().map(|(_, _, t)| t.clone()).collect::<Vec<_>>();
    let before = own_resident();
    let act = async {
        from.send(&targets, &PeerMessage::Revision(1.into())).map_err(io::Error::other)?;
        for (_, events, _) in &mut spokes {
            events.recv().await.ok_or_else(|| io::Error::other("a peer endpoint closed"))?;
        }
        Ok(())
    };
    let each = spent(act).await? / CONNECTIONS as f64;
    let grown = own_resident().saturating_sub(before) as f64 / CONNECTIONS as f64;
    println!("{CONNECTIONS} connections: {each:.0} µs and {grown:.0} KiB each, both ends together");
    Ok(())
}

fn start_peer(authority: &Authority, folder: &Path, name: &str) -> io::Result<PeerEndpoint> {
    authority.write(folder, name)?;
    let read = |file: &str| fs::read(folder.join(file));
    let config = PeerConfig {
        name: name.into(),
        listen: (Ipv4Addr::LOCALHOST, 0).into(),
        certificate: read(&format!("{name}.pem"))?,
        key: read(&format!("{name}.key"))?,
        authority: read("authority.pem")?,
        ephemeral: false,
    };
    let (net, events) = PeerNet::start(&config).map_err(io::Error::other)?;
    let address = format_compact!("{}", net.address()?);
    Ok((net, events, Target { name: CompactString::from(name), address }))
}
