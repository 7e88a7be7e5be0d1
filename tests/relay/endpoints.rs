//! Responses of a node to its callers: rejections, readiness, addresses and shutdown.

use {
    super::support::{Deployment, PLAIN, Script, ms, run_local},
    bilberryfront_platform::Http,
    bilberryfront_relay::{
        drain::Drain,
        ending::Ending,
        flow::Traffic,
        handler::Handler,
        network::Network,
        server::{self, Purpose},
        view::{Published, View},
    },
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    std::{sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Buffer of an in-memory connection in each direction, in bytes.
const WINDOW: usize = 64 << 10;

struct Node<N: Network> {
    handler: Handler<Http, N>,
    close: watch::Sender<bool>,
}

impl<N: Network> Node<N> {
    fn new(traffic: Traffic<Http, N>) -> Node<N> {
        let drain = Drain::new(Duration::from_secs(8));
        let handler = Handler {
            traffic,
            drain,
            demand: Arc::default(),
            max_addresses_ttl: Duration::from_secs(5),
        };
        Node { handler, close: watch::Sender::new(false) }
    }

    /// Opens a connection to the node.
    async fn connect(&self, purpose: Purpose) -> Caller {
        let (client, server_side) = tokio::io::duplex(WINDOW);
        let serving = server::serve_connection(
            server_side,
            Ending::default(),
            purpose,
            self.handler.clone(),
            self.close.subscribe(),
        );
        tokio::task::spawn_local(serving);
        let (sender, connection) = http1::handshake(TokioIo::new(client)).await.unwrap();
        tokio::task::spawn_local(async move {
            _ = connection.await;
        });
        Caller(sender)
    }
}

struct Caller(SendRequest<Full<Bytes>>);

impl Caller {
    async fn get(&mut self, path: &str) -> Response<Bytes> {
        let request = Request::get(path)
            .header("host", "desk.example")
            .header("x-bilberryfront-attempt-id", "a1")
            .body(Full::default())
            .unwrap();
        let (parts, body) = self.0.send_request(request).await.unwrap().into_parts();
        Response::from_parts(parts, body.collect().await.unwrap().to_bytes())
    }
}

fn header(response: &Response<Bytes>, name: &str) -> Option<String> {
    Some(response.headers().get(name)?.to_str().ok()?.to_owned())
}

/// Guards against a 404 from a node that has no catalogue yet. It must respond with 503 and a
/// `Retry-After`: short while the node starts, longer when the store is unavailable, because a
/// caller that returns during the outage has used up its retry.
#[tokio::test(start_paused = true)]
async fn a_node_without_a_catalogue_states_when_to_retry() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a"], &Script::Respond(200, "yes"));
        let published: &Published = &deployment.traffic.published;
        let node = Node::new(deployment.traffic.clone());
        let mut caller = node.connect(Purpose::Requests).await;
        for (cut_off, seconds) in [(false, 0.5), (true, 2.0)] {
            published.store(View { cut_off, ..View::default() });
            let response = caller.get("/look/1").await;
            assert_eq!(response.status(), 503);
            let retry: f64 = header(&response, "retry-after").unwrap().parse().unwrap();
            assert!((retry - seconds).abs() < f64::EPSILON);
        }
        let mut health_client = node.connect(Purpose::Queries).await;
        assert_eq!(health_client.get("/api/readyz").await.status(), 503);
        deployment.publish();
        assert_eq!(caller.get("/look/1").await.status(), 200);
        assert_eq!(health_client.get("/api/readyz").await.status(), 200);
    })
    .await;
}

/// Guards against rejected requests after a restart of all nodes. Callers reconnect as soon as a
/// node listens, tens of milliseconds before the node has read the catalogue and the runners from
/// the store, and a rejection then uses up their last retry. The node holds such requests and
/// serves them when the catalogue arrives, or rejects them early enough for a retry.
#[tokio::test(start_paused = true)]
async fn a_request_to_a_starting_node_waits_for_the_catalogue() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a"], &Script::Respond(200, "yes"));
        let published: &Published = &deployment.traffic.published;
        published.store(View::default());
        let node = Node::new(deployment.traffic.clone());
        let mut caller = node.connect(Purpose::Requests).await;
        let publish = async {
            sleep(ms(40)).await;
            deployment.publish();
        };
        let start = Instant::now();
        let (response, ()) = tokio::join!(caller.get("/look/1"), publish);
        assert_eq!(response.status(), 200);
        assert!(start.elapsed() < ms(100), "{:?}", start.elapsed());
        published.store(View::default());
        let start = Instant::now();
        assert_eq!(caller.get("/look/1").await.status(), 503);
        assert!(start.elapsed() <= ms(310), "{:?}", start.elapsed());
    })
    .await;
}

/// Guards against a path without a route that is answered with another status than 404, and against
/// responses without the attempt id.
#[tokio::test(start_paused = true)]
async fn a_path_without_a_route_is_not_found() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a"], &Script::Respond(200, "yes"));
        let node = Node::new(deployment.traffic.clone());
        let mut caller = node.connect(Purpose::Requests).await;
        let response = caller.get("/nothing/1").await;
        assert_eq!(response.status(), 404);
        assert_eq!(header(&response, "x-bilberryfront-attempt-id").as_deref(), Some("a1"));
        assert_eq!(header(&response, "retry-after"), None);
    })
    .await;
}

/// Guards against a wrong address list: it contains all ready nodes and is valid for one second.
#[tokio::test(start_paused = true)]
async fn addresses_are_those_of_ready_nodes() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a"], &Script::Respond(200, "yes"));
        let node = Node::new(deployment.traffic.clone());
        let mut health_client = node.connect(Purpose::Queries).await;
        let response = health_client.get("/api/resolve?name=desk.example&region=r&zone=a").await;
        assert_eq!(response.status(), 200);
        let body = String::from_utf8(response.into_body().to_vec()).unwrap();
        assert_eq!(body, r#"{"addresses":["10.0.0.1:80","10.0.0.2:80"],"ttl_s":1.0}"#);
    })
    .await;
}

/// Guards against rejected requests while a node drains. The node is not ready from then on, but
/// serves callers that still use an older address list, and closes the connection after each
/// response. Streams that cannot end before the shutdown are rejected at once, so that callers use
/// another node.
#[tokio::test(start_paused = true)]
async fn a_draining_node_serves_short_requests() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a"], &Script::Respond(200, "yes"));
        let node = Node::new(deployment.traffic.clone());
        let mut caller = node.connect(Purpose::Requests).await;
        assert_eq!(header(&caller.get("/look/1").await, "connection"), None);
        node.handler.drain.start();
        let mut health_client = node.connect(Purpose::Queries).await;
        assert_eq!(health_client.get("/api/readyz").await.status(), 503);
        let response = caller.get("/look/2").await;
        assert_eq!(response.status(), 200);
        assert_eq!(header(&response, "connection").as_deref(), Some("close"));
        tokio::time::sleep(ms(3_000)).await;
        let mut late = node.connect(Purpose::Requests).await;
        let response = late.get("/stream/1").await;
        assert_eq!(response.status(), 503);
        assert!(header(&response, "retry-after").unwrap().parse::<f64>().unwrap() < 0.1);
    })
    .await;
}

/// Guards against callers of streams who return, and are rejected again, before any node is ready.
#[tokio::test(start_paused = true)]
async fn a_stream_is_rejected_until_a_node_is_ready() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a"], &Script::Respond(200, "yes"));
        let node = Node::new(deployment.traffic.clone());
        node.handler.drain.start();
        tokio::time::sleep(ms(3_000)).await;
        let published = &deployment.traffic.published;
        let next_ready = Some(Instant::now() + ms(4_000));
        published.store(View { next_ready, ..View::clone(&published.load()) });
        let mut caller = node.connect(Purpose::Requests).await;
        let response = caller.get("/stream/1").await;
        let retry: f64 = header(&response, "retry-after").unwrap().parse().unwrap();
        assert_eq!(response.status(), 503);
        assert!((4.0..4.5).contains(&retry), "{retry}");
    })
    .await;
}

/// Guards against callers that keep the address of a draining node although another one is ready.
#[tokio::test(start_paused = true)]
async fn addresses_of_draining_nodes_expire_soon() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a"], &Script::Respond(200, "yes"));
        let node = Node::new(deployment.traffic.clone());
        let published = &deployment.traffic.published;
        let next_ready = Some(Instant::now() + ms(4_000));
        published.store(View { next_ready, ..View::clone(&published.load()) });
        let mut health_client = node.connect(Purpose::Queries).await;
        let response = health_client.get("/api/resolve?name=desk.example&region=r&zone=a").await;
        let body = String::from_utf8(response.into_body().to_vec()).unwrap();
        assert_eq!(body, r#"{"addresses":["10.0.0.1:80","10.0.0.2:80"],"ttl_s":0.3}"#);
    })
    .await;
}

/// Guards against calls that the exit of the process cuts: they end with a response before it, and are
/// rejected at once if there is no time for one.
#[tokio::test(start_paused = true)]
async fn a_call_ends_before_the_process_exits() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a"], &Script::Hang);
        let node = Node::new(deployment.traffic.clone());
        node.handler.drain.start();
        let start = Instant::now();
        tokio::time::sleep(ms(6_500)).await;
        let mut caller = node.connect(Purpose::Requests).await;
        assert_eq!(caller.get("/lodge/1").await.status(), 504);
        assert!((ms(7_100)..=ms(7_250)).contains(&start.elapsed()), "{:?}", start.elapsed());
        let mut late = node.connect(Purpose::Requests).await;
        let sent_at = Instant::now();
        assert_eq!(late.get("/lodge/2").await.status(), 503);
        assert!(sent_at.elapsed() < ms(20), "{:?}", sent_at.elapsed());
        assert_eq!(deployment.request_count(), 1);
    })
    .await;
}

/// Guards against connections that the kernel has established for callers, and that a closed listener
/// resets.
#[tokio::test]
async fn established_connections_are_served_although_the_listener_closes() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a"], &Script::Respond(200, "yes"));
        let node = Node::new(deployment.traffic.clone());
        let listener = server::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let (handler, closed) = (node.handler.clone(), node.close.subscribe());
        tokio::task::spawn_local(server::serve(listener, Purpose::Requests, handler, closed));
        sleep(ms(10)).await;
        // The listener's task doesn't run until all are connected.
        let connect = |_| {
            let stream = std::net::TcpStream::connect(address).unwrap();
            stream.set_nonblocking(true).unwrap();
            TcpStream::from_std(stream).unwrap()
        };
        let streams: Vec<TcpStream> = (0..20).map(connect).collect();
        node.close.send_replace(true);
        for stream in streams {
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
            tokio::task::spawn_local(async move {
                _ = connection.await;
            });
            assert_eq!(Caller(sender).get("/look/1").await.status(), 200);
        }
        assert!(TcpStream::connect(address).await.is_err());
    })
    .await;
}

/// Guards against responses that a shutdown cuts: an idle connection is closed, one with a request
/// in progress is closed after the response.
#[tokio::test(start_paused = true)]
async fn a_shutdown_cuts_no_response() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a"], &Script::Hang);
        let node = Node::new(deployment.traffic.clone());
        let mut caller = node.connect(Purpose::Requests).await;
        let mut idle = node.connect(Purpose::Requests).await;
        let leave = async {
            tokio::time::sleep(ms(100)).await;
            node.close.send_replace(true);
        };
        let (response, ()) = tokio::join!(caller.get("/lodge/1"), leave);
        assert_eq!(response.status(), 504, "the call ends with its timeout, not with the shutdown");
        tokio::time::sleep(ms(10)).await;
        assert!(idle.0.ready().await.is_err());
    })
    .await;
}
