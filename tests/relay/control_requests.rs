//! Control requests to runners whose responses are malformed.

use {
    super::support::{ENGINES, ms, run_local},
    bilberryfront_platform::Http,
    bilberryfront_relay::{
        budget::Allowance,
        flow::Traffic,
        network::Network,
        rollouts::exposure::Bound,
        view::{NodeAddress, Published, Registration, State},
    },
    std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, DuplexStream},
        task::spawn_local,
        time::sleep,
    },
};

/// Buffer of an in-memory connection in each direction, in bytes.
const WINDOW: usize = 64 << 10;
const BODY: &str = r#"{"handle":"h1","created":5}"#;

/// In-memory network with a runner that sends the same response to each request.
#[derive(Clone, Default)]
struct RawNetwork {
    response: Rc<RefCell<String>>,
}

impl Network for RawNetwork {
    type Stream = DuplexStream;

    async fn connect(&self, _address: SocketAddr, _limit: Duration) -> io::Result<DuplexStream> {
        let response = self.response.clone();
        let (client, mut stream) = tokio::io::duplex(WINDOW);
        spawn_local(async move {
            // Each request fits into one read.
            while stream.read(&mut [0; 4_096]).await.is_ok_and(|count| count > 0) {
                let response = response.borrow().clone();
                _ = stream.write_all(response.as_bytes()).await;
            }
        });
        Ok(client)
    }

    async fn connect_through(
        &self,
        _node: &NodeAddress,
        _address: SocketAddr,
        _limit: Duration,
    ) -> io::Result<DuplexStream> {
        Err(io::ErrorKind::HostUnreachable.into())
    }
}

fn traffic(net: RawNetwork) -> Traffic<Http, RawNetwork> {
    let allowance = Allowance { ratio: 0.8, slack: 100.0, window: Duration::from_secs(10) };
    let bound = Bound { share: 0.1, slack: 50.0 };
    let traffic = Traffic::new(Http, net, Published::default(), allowance, bound);
    let runner = Registration {
        id: "r-0".into(),
        born: 1,
        service: ENGINES.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8_000)),
        domain: "a".into(),
        version: "v1".into(),
        slots: 8,
        state: State::Ready,
        assumed: false,
    };
    traffic.client.fleet.update(&[runner]);
    traffic
}

/// Guards against a replica, or a sign of life, that is taken from a response whose body may be anything: its head
/// is malformed.
#[tokio::test(start_paused = true)]
async fn a_response_with_a_malformed_head_answers_no_control_request() {
    run_local(async {
        let net = RawNetwork::default();
        let response = net.response.clone();
        let client = &traffic(net).client;
        let endpoint = client.fleet.find("r-0").unwrap();
        let length = format!("content-length: {}", BODY.len());
        let sound = format!("HTTP/1.1 200 OK\r\n{length}\r\n\r\n{BODY}");
        let twice = format!("{length}\r\n{length}");
        let both = format!("{length}\r\ntransfer-encoding: chunked");
        for (from, to) in [
            ("200 OK", "000 OK"),
            ("200 OK", "600 OK"),
            (&length, "transfer-encoding: chunkd"),
            (&length, &twice),
            (&length, &both),
            (&length, &length.replace('t', "x")),
            (&length, &length.replace(':', "")),
        ] {
            *response.borrow_mut() = sound.replacen(from, to, 1);
            assert_ne!(*response.borrow(), sound, "{to}");
            assert_eq!(client.replicate(&endpoint, &endpoint, "a1").await, None, "{to}");
            sleep(ms(1_000)).await;
            assert!(!client.is_responsive(&endpoint).await, "{to}");
            sleep(ms(5_000)).await;
        }
        *response.borrow_mut() = sound;
        let handle = client.replicate(&endpoint, &endpoint, "a1").await;
        assert_eq!(handle.as_deref(), Some("h1"));
        sleep(ms(1_000)).await;
        assert!(client.is_responsive(&endpoint).await);
    })
    .await;
}
