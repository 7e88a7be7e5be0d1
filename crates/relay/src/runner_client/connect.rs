//! Connections to runners: direct, or through another node while this one is partitioned.

use {
    super::RunnerClient,
    crate::{
        dialect::Dialect,
        fleet::{Check, Endpoint},
        network::Network,
        pool::{Connection, SendError},
    },
    futures_util::{
        StreamExt,
        future::{self, join_all},
        stream::FuturesUnordered,
    },
    std::{io, time::Duration},
    tokio::time::sleep,
};

/// Timeout of the connections of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a connection through another node.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval of direct connections to a service from which this node is partitioned.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);

impl<D: Dialect, N: Network> RunnerClient<D, N> {
    /// Records that a runner was sent a request and did not respond, and checks the path to its service
    /// if that is due.
    pub fn record_lost_response(&self, endpoint: &Endpoint) {
        self.fleet.record_lost_response(endpoint.key);
        self.start_check(endpoint);
    }

    /// Ends partitions whose runners can be reached again; runs until cancelled.
    pub async fn recover(&self) {
        loop {
            self.fleet.wait_partitioned().await;
            let runners = self.fleet.partitioned_runners();
            let attempts = runners.iter().map(|endpoint| self.reconnect(endpoint));
            let is_connected = join_all(attempts).await.contains(&true);
            if !self.fleet.has_partition() {
                self.network.close_tunnels();
            } else if !is_connected {
                sleep(RECOVERY_INTERVAL).await;
            }
        }
    }

    async fn reconnect(&self, endpoint: &Endpoint) -> bool {
        let is_connected = self.network.connect(endpoint.address, CHECK_TIMEOUT).await.is_ok();
        match is_connected {
            true => self.fleet.record_connected(endpoint.key),
            false => self.fleet.record_unreachable(endpoint.key),
        }
        is_connected
    }

    /// Connects to a runner.
    pub(super) async fn connect(&self, endpoint: &Endpoint) -> Result<Connection, SendError> {
        if self.fleet.has_no_tunnels(endpoint.key) {
            return Err(SendError::Unsent);
        }
        if !self.fleet.needs_tunnel(endpoint.key) {
            match Connection::connect(&self.network, endpoint.address).await {
                Ok(connection) => {
                    self.fleet.record_connected(endpoint.key);
                    return Ok(connection);
                }
                Err(error) => {
                    self.fleet.record_unreachable(endpoint.key);
                    self.start_check(endpoint);
                    self.fleet.wait_checked(endpoint.key).await;
                    if !self.fleet.is_partitioned(endpoint.key) {
                        return Err(error);
                    }
                }
            }
        }
        self.connect_through_node(endpoint).await
    }

    async fn connect_through_node(&self, endpoint: &Endpoint) -> Result<Connection, SendError> {
        for node in self.fleet.tunnel_nodes(endpoint) {
            let connecting = self.network.connect_through(&node, endpoint.address, TUNNEL_TIMEOUT);
            match connecting.await {
                Ok(stream) => {
                    self.fleet.confirm_partition(endpoint.key);
                    return Connection::over(stream, true).await;
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    return Err(SendError::Unsent);
                }
                Err(error) => {
                    log::info!(runner = endpoint.id.as_str(), node = node.name.as_str();
                        "cannot connect through another instance: {error}");
                }
            }
        }
        self.fleet.record_no_tunnel(endpoint.key);
        Err(SendError::Unsent)
    }

    /// Checks the path to a runner's service in the background if that is due.
    fn start_check(&self, endpoint: &Endpoint) {
        if let Check::Due { service, targets } = self.fleet.begin_check(endpoint.key) {
            let client = self.clone();
            tokio::task::spawn_local(async move {
                let attempts = targets.iter().map(|target| client.check(target));
                let attempts = attempts.collect::<FuturesUnordered<_>>();
                // The first runner that is reached decides, since others may be down.
                let is_reachable = attempts.any(future::ready).await;
                client.fleet.end_check(&service, is_reachable);
            });
        }
    }

    /// Connects to a runner and puts the connection into the pool; returns whether that succeeded.
    async fn check(&self, target: &Endpoint) -> bool {
        let Ok(stream) = self.network.connect(target.address, CHECK_TIMEOUT).await else {
            return false;
        };
        self.fleet.record_connected(target.key);
        if let Ok(connection) = Connection::over(stream, false).await {
            self.fleet.return_connection(target.key, connection, None);
        }
        true
    }
}
