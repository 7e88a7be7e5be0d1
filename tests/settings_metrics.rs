//! Metrics as a StatsD collector receives them.

use {
    bilberryfront::{
        metrics::{Counter, Gauge, Metrics, Timing, flush_periodically},
        settings,
    },
    std::{
        collections::BTreeSet,
        net::{SocketAddr, UdpSocket},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Longest wait for a datagram that was already sent over loopback; only a failing test reaches it.
const TIMEOUT: Duration = Duration::from_secs(10);

fn collector() -> (UdpSocket, Metrics) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    let statsd: SocketAddr = socket.local_addr().unwrap();
    let metrics = Metrics::start(Some(&settings::Metrics { statsd })).unwrap();
    (socket, metrics)
}

fn receive(socket: &UdpSocket) -> Vec<String> {
    let mut datagram = [0; 2_048];
    let length = socket.recv(&mut datagram).unwrap();
    let text = str::from_utf8(&datagram[..length]).unwrap();
    text.lines().map(String::from).collect()
}

#[test]
fn counters_are_summed_and_sent_by_a_flush() {
    let (socket, metrics) = collector();
    for _ in 0..1_000 {
        metrics.clone().add(Counter::Tokens, 2);
    }
    metrics.add(Counter::Resumes, 1);
    metrics.flush();
    assert_eq!(receive(&socket), ["bilberryfront.tokens:2000|c", "bilberryfront.resumes:1|c"]);
    assert_eq!(metrics.pending(Counter::Tokens), 0);
}

#[test]
fn gauges_and_timers_are_sent_by_the_next_flush() {
    let (socket, metrics) = collector();
    metrics.set(Gauge::Running, 7);
    metrics.time(Timing::FirstToken, Duration::from_micros(3));
    metrics.flush();
    assert_eq!(
        receive(&socket),
        ["bilberryfront.running:7|g", "bilberryfront.first_token.time:3000|h"]
    );
}

#[tokio::test(start_paused = true)]
async fn counts_are_flushed_every_second() {
    let (socket, metrics) = collector();
    tokio::spawn(flush_periodically(metrics.clone()));
    sleep(Duration::from_millis(500)).await;
    metrics.add(Counter::Requests, 1);
    assert_eq!(metrics.pending(Counter::Requests), 1);
    sleep(Duration::from_millis(600)).await;
    assert_eq!(metrics.pending(Counter::Requests), 0);
    assert_eq!(receive(&socket), ["bilberryfront.requests:1|c"]);
}

#[test]
fn without_a_collector_counts_stay_in_memory() {
    let metrics = Metrics::start(None).unwrap();
    metrics.add(Counter::Requests, 3);
    metrics.flush();
    assert_eq!(metrics.pending(Counter::Requests), 3);
}

#[test]
fn metric_names_are_unique() {
    let names = Counter::ALL
        .iter()
        .map(|c| c.name())
        .chain(Gauge::ALL.iter().map(|g| g.name()))
        .chain(Timing::ALL.iter().map(|t| t.name()))
        .collect::<Vec<_>>();
    assert_eq!(names.iter().collect::<BTreeSet<_>>().len(), names.len());
}
