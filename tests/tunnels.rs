//! Connections to runners through an instance that runs as a process, from a peer of it.

#[path = "relay/process.rs"]
#[allow(dead_code, reason = "shared with the other tests of the program")]
mod process;
#[path = "relay/support.rs"]
#[allow(dead_code, reason = "shared with the in-memory tests")]
mod support;

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    bilberryfront::peer::{PeerConfig, PeerNet, tunnel::Tunnel},
    bilberryfront_relay::pool::{Connection, Exchange},
    compact_str::CompactString,
    http::Request,
    http_body_util::{BodyExt, Full},
    process::{Instance, Platform, TIMEOUT, wait_until},
    rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, KeyUsagePurpose},
    serde_json::Value,
    std::{
        fs, io,
        net::{Ipv4Addr, SocketAddr},
        thread,
        time::Duration,
    },
    support::{Script, StreamEnd, ms, run_local},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        runtime,
        sync::oneshot,
        time::{Instant, sleep, timeout},
    },
};

/// First bytes of the responses of the instance.
const CONNECTED: u8 = 0;
const REFUSED: u8 = 1;
const UNREACHABLE: u8 = 2;

/// More than the buffers from an instance to a runner hold, and more than all on the way through another one.
const REQUEST_SIZES: [usize; 2] = [1 << 20, 32 << 20];

/// An instance, and a peer of it in this process.
struct Peers {
    platform: Platform,
    instance: Instance,
    net: PeerNet,
    /// Address of the instance for peers.
    address: SocketAddr,
}

impl Peers {
    async fn new() -> Peers {
        let platform = Platform::new().await;
        let instance = platform.start("n1");
        wait_until("the instance is ready", async || instance.ready().await).await;
        let settings = fs::read_to_string(platform.folder.path().join("n1.jsonc")).unwrap();
        let settings: Value = serde_json::from_str(settings.split_once('\n').unwrap().1).unwrap();
        let address = settings["listen"]["peers"].as_str().unwrap().parse().unwrap();
        let (net, _) = PeerNet::start(&config(&platform, "n2")).unwrap();
        Peers { platform, instance, net, address }
    }

    /// Opens a tunnel to an address; returns it with the first byte of the response.
    async fn open(&self, to: SocketAddr) -> (Tunnel, u8) {
        open_tunnel(&self.net, self.address, to).await
    }
}

/// Opens a tunnel through the instance at `address`; returns it with the first byte of the response.
async fn open_tunnel(net: &PeerNet, address: SocketAddr, to: SocketAddr) -> (Tunnel, u8) {
    let name = CompactString::from("n1");
    let mut tunnel = net.open_tunnel(&name, address).await.unwrap();
    let text = to.to_string();
    tunnel.write_u8(text.len() as u8).await.unwrap();
    tunnel.write_all(text.as_bytes()).await.unwrap();
    let reply = tunnel.read_u8().await.unwrap();
    (tunnel, reply)
}

/// Returns the configuration of a peer with a certificate of the authority in the store.
fn config(platform: &Platform, name: &str) -> PeerConfig {
    let row = platform.store.value("bilberryfront", "authority").unwrap();
    let authority: Value = serde_json::from_slice(&STANDARD.decode(row).unwrap()).unwrap();
    let text = |field: &str| authority[field].as_str().unwrap().to_owned();
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    let issuer = Issuer::new(params, KeyPair::from_pem(&text("key")).unwrap());
    let key = KeyPair::generate().unwrap();
    let certificate = CertificateParams::new([name.to_owned()]).unwrap();
    PeerConfig {
        name: name.into(),
        listen: (Ipv4Addr::LOCALHOST, 0).into(),
        certificate: certificate.signed_by(&key, &issuer).unwrap().pem().into_bytes(),
        key: key.serialize_pem().into_bytes(),
        authority: text("certificate").into_bytes(),
        ephemeral: true,
    }
}

/// Reads to the end of the connection.
async fn read_to_end(tunnel: &mut Tunnel) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    tunnel.read_to_end(&mut bytes).await?;
    Ok(bytes)
}

fn request(id: &str) -> String {
    format!(
        "POST /stream/1 HTTP/1.1\r\nhost: r\r\nx-bilberryfront-attempt-id: {id}\r\n\
         content-length: 2\r\n\r\n{{}}"
    )
}

/// Guards against requests that are changed, cut or delayed to their end on the way through another
/// instance.
#[tokio::test]
async fn instance_carries_a_stream_of_a_peer_event_by_event() {
    run_local(async {
        let peers = Peers::new().await;
        let runner = peers.platform.runners[0].clone();
        let (mut tunnel, reply) = peers.open(runner.address).await;
        assert_eq!(reply, CONNECTED);
        tunnel.write_all(request("t1").as_bytes()).await.unwrap();
        let mut text = String::new();
        let mut reads = 0;
        while !text.contains("id: 30\n") {
            let mut bytes = [0; 4_096];
            let count = timeout(ms(2_000), tunnel.read(&mut bytes)).await.unwrap().unwrap();
            assert_ne!(count, 0, "{text}");
            text.push_str(std::str::from_utf8(&bytes[..count]).unwrap());
            reads += 1;
        }
        assert!(reads >= 20, "{reads} reads");
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        assert_eq!(runner.header("x-bilberryfront-attempt-id").as_deref(), Some("t1"));
        assert!(!runner.requests.borrow()[0].headers.contains_key("x-forwarded-for"));
    })
    .await;
}

/// Guards against instances that let their peers reach any host, and against a reply for a runner that
/// is down which suggests that the instance is partitioned.
#[tokio::test]
async fn instance_connects_peers_only_to_listed_runners() {
    run_local(async {
        let peers = Peers::new().await;
        let (_, reply) = peers.open(peers.platform.handle.addr).await;
        assert_eq!(reply, UNREACHABLE);
        // Nothing listens there.
        let free = process::free_tcp_address();
        let row = serde_json::json!({"service": support::PLAIN, "address": free, "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "seq": 1, "born": 1});
        peers.platform.put("servers", "down", &row);
        wait_until("the runner is listed", async || peers.open(free).await.1 == REFUSED).await;
    })
    .await;
}

/// Guards against runners that work on requests whose caller has left, and against a broken response
/// that looks complete.
#[tokio::test]
async fn instance_passes_the_end_of_either_side_on() {
    run_local(async {
        let peers = Peers::new().await;
        let runner = peers.platform.runners[0].clone();
        let gap = ms(20);
        runner.script.replace(Script::Events { last: 500, gap, end: StreamEnd::Complete });
        let (mut tunnel, _) = peers.open(runner.address).await;
        tunnel.write_all(request("t1").as_bytes()).await.unwrap();
        let mut bytes = [0; 4_096];
        assert_ne!(tunnel.read(&mut bytes).await.unwrap(), 0);
        assert_eq!(runner.running_streams(), 1);
        drop(tunnel);
        wait_until("the runner's stream ends", async || runner.running_streams() == 0).await;

        let (mut tunnel, _) = peers.open(runner.address).await;
        tunnel.write_all(request("t2").as_bytes()).await.unwrap();
        assert_ne!(tunnel.read(&mut bytes).await.unwrap(), 0);
        let mut instance = peers.instance;
        instance.process.kill();
        let rest = async {
            while tunnel.read(&mut bytes).await.is_ok_and(|count| count > 0) {}
            tunnel.read(&mut bytes).await
        };
        assert!(timeout(ms(10_000), rest).await.unwrap().is_err());
    })
    .await;
}

/// Guards against a response that an instance which stops cuts off, and which looks complete.
#[tokio::test]
async fn instance_that_stops_aborts_the_connections_of_peers() {
    run_local(async {
        let peers = Peers::new().await;
        let runner = peers.platform.runners[0].clone();
        let gap = ms(20);
        runner.script.replace(Script::Events { last: 500, gap, end: StreamEnd::Complete });
        // Another member, to which the instance says that it leaves before it closes its connections.
        let member = peers.platform.start("n3");
        wait_until("the member is ready", async || member.ready().await).await;
        let (mut tunnel, _) = peers.open(runner.address).await;
        tunnel.write_all(request("t1").as_bytes()).await.unwrap();
        assert_ne!(tunnel.read(&mut [0; 4_096]).await.unwrap(), 0);
        peers.instance.process.terminate();
        let read = timeout(TIMEOUT, read_to_end(&mut tunnel)).await.unwrap();
        assert!(read.is_err(), "the response ends after {:?} bytes", read.map(|text| text.len()));
    })
    .await;
}

/// Guards against an early response that looks complete although the runner resets the rest of the request, and
/// against the loss of one whose runner reads the rest.
#[tokio::test]
async fn instance_passes_the_rest_of_a_request_on_after_the_response() {
    run_local(async {
        let peers = Peers::new().await;
        for reads_rest in [false, true] {
            let address = start_early_runner(&peers, reads_rest).await;
            for size in REQUEST_SIZES {
                let (tunnel, _) = peers.open(address).await;
                let mut connection = Connection::over(tunnel, true).await.unwrap();
                let request = Request::post("/").body(Full::from(vec![b'x'; size])).unwrap();
                let (exchange, until) = (Exchange::Call("a1".into()), Instant::now() + TIMEOUT);
                let response = connection.send(request, &exchange, until).await.unwrap();
                let read = timeout(TIMEOUT, response.body.collect()).await.unwrap();
                assert_eq!(read.is_ok(), reads_rest, "{size} bytes: {read:?}");
            }
        }
    })
    .await;
}

/// Starts a runner that reads the first byte of a request, responds and ends its side of the connection. It then
/// reads the rest, or closes the connection.
async fn start_early_runner(peers: &Peers, reads_rest: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                stream.read_u8().await?;
                // The buffers are filled meanwhile.
                sleep(ms(100)).await;
                stream.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart").await?;
                stream.shutdown().await?;
                // Longer than it takes to see the end.
                sleep(ms(100)).await;
                if reads_rest {
                    tokio::io::copy(&mut stream, &mut tokio::io::sink()).await?;
                }
                io::Result::Ok(())
            });
        }
    });
    let row = serde_json::json!({"service": support::PLAIN, "address": address, "zone": "a",
        "version": "v1", "slots": 8, "state": "ready", "seq": 1, "born": 1});
    peers.platform.put("servers", &format!("early-{reads_rest}"), &row);
    wait_until("the runner is listed", async || peers.open(address).await.1 == CONNECTED).await;
    address
}

/// Guards against a stream that runs twice: a peer that is cut off resumes it elsewhere, while the instance
/// that carries its connection keeps the former run going.
#[tokio::test]
async fn instance_ends_the_run_of_a_peer_that_is_cut_off() {
    /// Time from the last event until the peer has resumed the stream, and until the former run must have
    /// ended.
    const LIMIT: Duration = Duration::from_millis(420 + 400);
    run_local(async {
        let peers = Peers::new().await;
        let runner = peers.platform.runners[0].clone();
        let gap = ms(20);
        runner.script.replace(Script::Events { last: 500, gap, end: StreamEnd::Complete });
        let (config, to, address) = (config(&peers.platform, "n3"), runner.address, peers.address);
        let (streaming, started) = oneshot::channel();
        let peer = thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let _open = runtime.block_on(async {
                let (net, _) = PeerNet::start(&config).unwrap();
                let (mut tunnel, _) = open_tunnel(&net, address, to).await;
                tunnel.write_all(request("t1").as_bytes()).await.unwrap();
                // Long enough for the estimate of the round-trip time.
                let end = Instant::now() + ms(1_000);
                while Instant::now() < end {
                    assert_ne!(tunnel.read(&mut [0; 4_096]).await.unwrap(), 0);
                }
                (net, tunnel)
            });
            streaming.send(()).unwrap();
            // The runtime does not run meanwhile: the peer is silent.
            thread::sleep(LIMIT * 2);
        });
        started.await.unwrap();
        let cut_at = Instant::now();
        assert_eq!(runner.running_streams(), 1);
        wait_until("the run ends", async || runner.running_streams() == 0).await;
        assert!(cut_at.elapsed() < LIMIT, "the run went on for {:?}", cut_at.elapsed());
        peer.join().unwrap();
    })
    .await;
}

/// Guards against the same for a peer that is cut off long after the last event of a slow runner, so that it
/// resumes the stream soon after that.
#[tokio::test]
async fn instance_ends_the_run_of_a_peer_that_is_cut_off_between_events() {
    /// Time between the events, which is shorter than that after which a run is silent.
    const GAP: Duration = Duration::from_millis(380);
    /// Time from the last event to the cut.
    const WAIT: Duration = Duration::from_millis(350);
    /// Time from the last event until the peer has resumed the stream, and until the former run must have
    /// ended.
    const LIMIT: Duration = Duration::from_millis(420 + 400);
    run_local(async {
        let peers = Peers::new().await;
        let runner = peers.platform.runners[0].clone();
        runner.script.replace(Script::Events { last: 500, gap: GAP, end: StreamEnd::Complete });
        let (config, to, address) = (config(&peers.platform, "n3"), runner.address, peers.address);
        let (streaming, started) = oneshot::channel();
        let peer = thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let _open = runtime.block_on(async {
                let (net, _) = PeerNet::start(&config).unwrap();
                let (mut tunnel, _) = open_tunnel(&net, address, to).await;
                tunnel.write_all(request("t1").as_bytes()).await.unwrap();
                let mut text = String::new();
                while !text.contains("id: 4\n") {
                    let mut bytes = [0; 4_096];
                    let count = tunnel.read(&mut bytes).await.unwrap();
                    text.push_str(std::str::from_utf8(&bytes[..count]).unwrap());
                }
                streaming.send(Instant::now()).unwrap();
                sleep(WAIT).await;
                (net, tunnel)
            });
            // The runtime does not run meanwhile: the peer is silent.
            thread::sleep(LIMIT * 2);
        });
        let last_event = started.await.unwrap();
        assert_eq!(runner.running_streams(), 1);
        wait_until("the run ends", async || runner.running_streams() == 0).await;
        let time = last_event.elapsed();
        println!("the run ended after {time:?}");
        assert!(time < LIMIT, "the run went on for {time:?}");
        peer.join().unwrap();
    })
    .await;
}

/// Guards against a response that states no end, and is cut off when the instance that carries it stops, but
/// looks ended by its runner.
#[tokio::test]
async fn instance_that_stops_does_not_end_the_connections_of_its_peers_regularly() {
    run_local(async {
        let peers = Peers::new().await;
        let runner = peers.platform.runners[0].clone();
        let gap = ms(20);
        runner.script.replace(Script::Events { last: 2_000, gap, end: StreamEnd::Complete });
        let (mut tunnel, _) = peers.open(runner.address).await;
        tunnel.write_all(request("t1").as_bytes()).await.unwrap();
        let mut bytes = [0; 4_096];
        assert_ne!(tunnel.read(&mut bytes).await.unwrap(), 0);
        peers.instance.process.terminate();
        let rest = async {
            loop {
                match tunnel.read(&mut bytes).await {
                    Ok(1..) => {}
                    end => break end,
                }
            }
        };
        let end = timeout(process::TIMEOUT, rest).await.unwrap();
        assert!(end.is_err(), "{end:?}");
    })
    .await;
}
