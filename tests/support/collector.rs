//! A StatsD collector.

use {
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::{net::UdpSocket, time::timeout},
};

/// Longest wait for a metric; only a failing test reaches it.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Received metrics by name without the prefix: the sum of a counter, the last value of a gauge,
/// the number of samples of a timer.
pub(crate) struct Collector {
    socket: UdpSocket,
    values: BTreeMap<String, u64>,
}

impl Collector {
    pub(crate) async fn start() -> Collector {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        Collector { socket, values: BTreeMap::new() }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }

    pub(crate) fn get(&self, name: &str) -> u64 {
        self.values.get(name).copied().unwrap_or_default()
    }

    /// Receives datagrams until the condition is met.
    pub(crate) async fn wait_until(&mut self, is_met: impl Fn(&Collector) -> bool) {
        let received = async {
            while !is_met(self) {
                self.receive().await;
            }
        };
        timeout(TIMEOUT, received).await.expect("the expected metrics did not arrive in time");
    }

    /// Discards the last value of a gauge, and receives datagrams until it is sent with this value.
    pub(crate) async fn wait_for_gauge(&mut self, name: &str, value: u64) {
        self.values.remove(name);
        self.wait_until(|c| c.values.get(name) == Some(&value)).await;
    }

    async fn receive(&mut self) {
        let mut datagram = [0; 2_048];
        let length = self.socket.recv(&mut datagram).await.unwrap();
        for line in str::from_utf8(&datagram[..length]).unwrap().lines() {
            let line = line.strip_prefix("bilberryfront.").unwrap();
            let (name, value) = line.split_once(':').unwrap();
            let (value, kind) = value.split_once('|').unwrap();
            let value = value.parse().unwrap();
            let entry = self.values.entry(name.to_owned()).or_default();
            match kind {
                "c" => *entry += value,
                "g" => *entry = value,
                _ => *entry += 1,
            }
        }
    }
}
