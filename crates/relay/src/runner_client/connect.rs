//! Connections to runners: direct, or through another node while this one is partitioned.

use {
    super::RunnerClient,
    crate::{
        dialect::Dialect,
        fleet::{Check, DetourResult, Endpoint},
        network::Network,
        pool::{CONNECT_TIMEOUT, Connection, SendError},
        view::NodeAddress,
    },
    futures_util::{
        StreamExt,
        future::{self, join_all},
        stream::FuturesUnordered,
    },
    std::{io, pin::pin, time::Duration},
    tokio::time::sleep,
};

/// Timeout of the connections of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a connection through another node.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which another node is tried as well.
const TUNNEL_STAGGER: Duration = Duration::from_millis(40);
/// Number of nodes whose connections are refused from which the runner counts as down.
const MIN_REFUSALS: u32 = 2;
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

    /// Checks the paths that are suspected although no request has failed; runs until cancelled.
    pub async fn check_suspected(&self) {
        loop {
            self.fleet.wait_suspected().await;
            self.fleet.suspected_runners().iter().for_each(|endpoint| self.start_check(endpoint));
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
        if self.fleet.has_no_path(endpoint) {
            return Err(SendError::NoPath);
        }
        if self.fleet.needs_tunnel(endpoint.key) {
            return self.connect_tunneled(endpoint).await;
        }
        let mut direct = pin!(self.connect_directly(endpoint, CONNECT_TIMEOUT));
        let result = match self.fleet.is_partitioned(endpoint.key) {
            true => tokio::select! {
                result = &mut direct => result,
                Ok(connection) = self.connect_tunneled_later(endpoint) => return Ok(connection),
            },
            false => direct.await,
        };
        match result {
            Ok(stream) => Connection::over(stream, false).await,
            Err(_) if self.fleet.is_partitioned(endpoint.key) => {
                self.connect_tunneled(endpoint).await
            }
            Err(_) => Err(SendError::Unsent),
        }
    }

    async fn connect_tunneled(&self, endpoint: &Endpoint) -> Result<Connection, SendError> {
        match self.connect_through_nodes(endpoint).await {
            Ok(stream) => Connection::over(stream, true).await,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Err(SendError::Unsent)
            }
            Err(_) => Err(SendError::NoPath),
        }
    }

    /// Connects through another node unless a direct connection is established soon.
    async fn connect_tunneled_later(&self, endpoint: &Endpoint) -> Result<Connection, SendError> {
        sleep(TUNNEL_STAGGER).await;
        self.connect_tunneled(endpoint).await
    }

    /// Connects to a runner without another node, and checks the path to its service if that fails.
    async fn connect_directly(
        &self,
        endpoint: &Endpoint,
        limit: Duration,
    ) -> io::Result<N::Stream> {
        let connected = self.network.connect(endpoint.address, limit).await;
        match &connected {
            Ok(_) => self.fleet.record_connected(endpoint.key),
            Err(_) => {
                self.fleet.record_unreachable(endpoint.key);
                self.start_check(endpoint);
                self.fleet.wait_checked(endpoint.key).await;
            }
        }
        connected
    }

    /// Connects to a runner through another node. If the first one does not respond soon, further ones are
    /// tried at the same time.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::ConnectionRefused`] if the runner's host refuses connections, also of a second
    /// node if there is one, [`io::ErrorKind::HostUnreachable`] if no node reaches it.
    pub(super) async fn connect_through_nodes(&self, endpoint: &Endpoint) -> io::Result<N::Stream> {
        let mut nodes = self.fleet.tunnel_nodes(endpoint).into_iter();
        let mut attempts = FuturesUnordered::new();
        let mut refusals = 0;
        loop {
            if let Some(node) = nodes.next() {
                attempts.push(self.connect_through(node, endpoint));
            }
            let stagger = async {
                match nodes.len() {
                    0 => future::pending().await,
                    _ => sleep(TUNNEL_STAGGER).await,
                }
            };
            let result = tokio::select! {
                result = attempts.next() => result,
                () = stagger => continue,
            };
            match result {
                Some(Ok(stream)) => return Ok(stream),
                Some(Err(error)) => {
                    refusals += u32::from(error.kind() == io::ErrorKind::ConnectionRefused);
                }
                None => break,
            }
            // A single node may be partitioned itself.
            if refusals >= MIN_REFUSALS {
                break;
            }
        }
        match refusals {
            0 => Err(io::ErrorKind::HostUnreachable.into()),
            _ => Err(io::ErrorKind::ConnectionRefused.into()),
        }
    }

    async fn connect_through(
        &self,
        node: NodeAddress,
        endpoint: &Endpoint,
    ) -> io::Result<N::Stream> {
        let connecting = self.network.connect_through(&node, endpoint.address, TUNNEL_TIMEOUT);
        let connected = connecting.await;
        let result = match &connected {
            Ok(_) => DetourResult::Connected,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => DetourResult::Refused,
            Err(_) => DetourResult::Failed,
        };
        self.fleet.record_detour(endpoint.key, &node.name, result);
        match &connected {
            Ok(_) => self.fleet.confirm_partition(endpoint.key),
            Err(error) => log::info!(runner = endpoint.id.as_str(), node = node.name.as_str();
                "cannot connect through another instance: {error}"),
        }
        connected
    }

    /// Connects to a runner for a partitioned peer.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::HostUnreachable`] if this node is partitioned from the runner as well.
    pub async fn connect_for_peer(
        &self,
        endpoint: &Endpoint,
        limit: Duration,
    ) -> io::Result<N::Stream> {
        if self.fleet.is_partitioned(endpoint.key) {
            return Err(io::ErrorKind::HostUnreachable.into());
        }
        match self.connect_directly(endpoint, limit).await {
            Err(_) if self.fleet.is_partitioned(endpoint.key) => {
                Err(io::ErrorKind::HostUnreachable.into())
            }
            connected => connected,
        }
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
