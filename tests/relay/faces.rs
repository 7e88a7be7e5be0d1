//! What callers see of a node: refusals, readiness, addresses, and its leaving.

use {
    super::support::{PLAIN, Script, World, ms, play},
    bilberryfront_platform::Http,
    bilberryfront_relay::{
        drain::Drain,
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
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Bytes that a connection in memory holds each way.
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

    /// A caller's connection.
    async fn connect(&self, purpose: Purpose) -> Caller {
        let (near, far) = tokio::io::duplex(WINDOW);
        let serving =
            server::serve_connection(far, purpose, self.handler.clone(), self.close.subscribe());
        tokio::task::spawn_local(serving);
        let (sender, connection) = http1::handshake(TokioIo::new(near)).await.unwrap();
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

/// A node starts without having reached the store: it knows no route, but must not say that there is
/// none. It says "not run" and when to come back: soon while it is starting, later when the store is
/// away, since a caller who comes back during the outage has used up its try.
#[tokio::test(start_paused = true)]
async fn a_node_without_a_catalogue_sends_callers_away_for_long_enough() {
    play(async {
        let world = World::new(PLAIN, &["a"], &Script::Whole(200, "yes"));
        let published: &Published = &world.traffic.published;
        let node = Node::new(world.traffic.clone());
        let mut caller = node.connect(Purpose::Requests).await;
        for (cut_off, seconds) in [(false, 0.5), (true, 2.0)] {
            published.store(View { cut_off, ..View::default() });
            let response = caller.get("/look/1").await;
            assert_eq!(response.status(), 503);
            let retry: f64 = header(&response, "retry-after").unwrap().parse().unwrap();
            assert!((retry - seconds).abs() < f64::EPSILON);
        }
        let mut asker = node.connect(Purpose::Queries).await;
        assert_eq!(asker.get("/api/readyz").await.status(), 503);
        world.publish();
        assert_eq!(caller.get("/look/1").await.status(), 200);
        assert_eq!(asker.get("/api/readyz").await.status(), 200);
    })
    .await;
}

/// Load: all nodes were killed, and callers are there again as soon as one of them listens, tens of
/// milliseconds before the store has told it the catalogue and the runners. Refused then, callers have used
/// up their last try. Their requests are kept for that moment and served; where nothing comes they are told
/// when to come back while there is time.
#[tokio::test(start_paused = true)]
async fn a_request_at_a_node_that_starts_is_kept_until_it_knows_the_catalogue() {
    play(async {
        let world = World::new(PLAIN, &["a"], &Script::Whole(200, "yes"));
        let published: &Published = &world.traffic.published;
        published.store(View::default());
        let node = Node::new(world.traffic.clone());
        let mut caller = node.connect(Purpose::Requests).await;
        let learns = async {
            sleep(ms(40)).await;
            world.publish();
        };
        let asked = Instant::now();
        let (response, ()) = tokio::join!(caller.get("/look/1"), learns);
        assert_eq!(response.status(), 200);
        assert!(asked.elapsed() < ms(100), "{:?}", asked.elapsed());
        published.store(View::default());
        let asked = Instant::now();
        assert_eq!(caller.get("/look/1").await.status(), 503);
        assert!(asked.elapsed() <= ms(310), "{:?}", asked.elapsed());
    })
    .await;
}

/// What no route begins is 404; answers echo the attempt's id.
#[tokio::test(start_paused = true)]
async fn refusals_say_why() {
    play(async {
        let world = World::new(PLAIN, &["a"], &Script::Whole(200, "yes"));
        let node = Node::new(world.traffic.clone());
        let mut caller = node.connect(Purpose::Requests).await;
        let response = caller.get("/nothing/1").await;
        assert_eq!(response.status(), 404);
        assert_eq!(header(&response, "x-bilberryfront-attempt-id").as_deref(), Some("a1"));
        assert_eq!(header(&response, "retry-after"), None);
    })
    .await;
}

/// Callers are told all nodes that take requests, for a second.
#[tokio::test(start_paused = true)]
async fn addresses_are_those_of_ready_nodes() {
    play(async {
        let world = World::new(PLAIN, &["a"], &Script::Whole(200, "yes"));
        let node = Node::new(world.traffic.clone());
        let mut asker = node.connect(Purpose::Queries).await;
        let response = asker.get("/api/resolve?name=desk.example&region=r&zone=a").await;
        assert_eq!(response.status(), 200);
        let body = String::from_utf8(response.into_body().to_vec()).unwrap();
        assert_eq!(body, r#"{"addresses":["10.0.0.1:80","10.0.0.2:80"],"ttl_s":1.0}"#);
    })
    .await;
}

/// A node is told to leave. It isn't ready from then on, but callers who hold an older address answer
/// are still served, each answer closing its connection; streams that it would have to cut are sent
/// elsewhere at once.
#[tokio::test(start_paused = true)]
async fn a_leaving_node_serves_whom_it_can() {
    play(async {
        let world = World::new(PLAIN, &["a"], &Script::Whole(200, "yes"));
        let node = Node::new(world.traffic.clone());
        let mut caller = node.connect(Purpose::Requests).await;
        assert_eq!(header(&caller.get("/look/1").await, "connection"), None);
        node.handler.drain.start();
        let mut asker = node.connect(Purpose::Queries).await;
        assert_eq!(asker.get("/api/readyz").await.status(), 503);
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

/// An idle connection of a leaving node ends when callers have forgotten it; one with a request on it
/// ends with the answer.
#[tokio::test(start_paused = true)]
async fn leaving_cuts_no_answer() {
    play(async {
        let world = World::new(PLAIN, &["a"], &Script::Hang);
        let node = Node::new(world.traffic.clone());
        let mut caller = node.connect(Purpose::Requests).await;
        let mut idle = node.connect(Purpose::Requests).await;
        let leave = async {
            tokio::time::sleep(ms(100)).await;
            node.close.send_replace(true);
        };
        let (response, ()) = tokio::join!(caller.get("/lodge/1"), leave);
        assert_eq!(response.status(), 504, "the call ran to its timeout and was answered");
        tokio::time::sleep(ms(10)).await;
        assert!(idle.0.ready().await.is_err());
    })
    .await;
}
