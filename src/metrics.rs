//! Counters, gauges and histograms for a StatsD collector.
//!
//! Counters are accumulated in memory and sent by [`Metrics::flush`], so that counting a token costs
//! one atomic addition and no datagram.

use {
    crate::settings,
    cadence::{BufferedUdpMetricSink, Counted, Gauged, Histogrammed, StatsdClient},
    std::{
        array, io,
        net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering::Relaxed},
        },
        time::Duration,
    },
};

/// Prefix of all names.
const PREFIX: &str = "bilberryfront";
/// Interval between two flushes.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of a datagram in bytes, below the usual Ethernet limit.
const MAX_DATAGRAM_BYTES: usize = 1_432;

/// Declares an enum with a metric name for each variant and a list of all variants.
macro_rules! names {
    ($(#[$meta:meta])* $kind:ident { $($(#[$doc:meta])* $variant:ident = $name:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $kind {
            $($(#[$doc])* $variant,)*
        }

        impl $kind {
            /// All variants in order.
            pub const ALL: &[$kind] = &[$($kind::$variant,)*];

            /// Returns the metric name without the prefix.
            pub fn name(self) -> &'static str {
                match self {
                    $($kind::$variant => $name,)*
                }
            }
        }
    };
}

names! {
    /// Counters.
    Counter {
        /// Callers' requests received.
        Requests = "requests",
        /// Callers' requests completed.
        Completed = "completed",
        /// Callers' requests rejected with `not_run`.
        Refused = "refused",
        /// Callers' requests that ended with `partial`.
        Partial = "partial",
        /// Callers' requests that ended with `unknown`.
        Unknown = "unknown",
        /// Requests whose caller disconnected before the end.
        Abandoned = "abandoned",
        /// Tokens delivered to callers.
        Tokens = "tokens",
        /// Tokens dropped because they were repeated or of an older attempt.
        DroppedTokens = "tokens.dropped",
        /// Requests sent to runners, including retries.
        Sends = "sends",
        /// Failures to connect to a runner, and lost connections.
        RunnerBroken = "runners.broken",
        /// Runners that exceeded the time limit without sending anything.
        RunnerStalled = "runners.stalled",
        /// Error statuses of runners.
        RunnerRejected = "runners.rejected",
        /// Streams of runners that violated the protocol.
        RunnerGarbled = "runners.garbled",
        /// Generations resumed on another runner.
        Resumes = "resumes",
        /// Sends prevented by the retry budget.
        BudgetEmpty = "retries.over_budget",
    }
}

names! {
    /// Gauges, which are measured periodically.
    Gauge {
        /// Open requests and streams.
        Open = "open",
        /// Requests running at runners.
        Running = "running",
        /// Nodes known to be alive.
        Nodes = "nodes",
        /// Runners known to be alive.
        Runners = "runners",
        /// Catalogue revision in force.
        Revision = "catalogue.revision",
        /// Messages sent to other nodes since the start.
        PeersSent = "peers.sent",
        /// Messages received from other nodes since the start.
        PeersReceived = "peers.received",
        /// Messages to other nodes dropped since the start.
        PeersDropped = "peers.dropped",
        /// Messages and connections of other nodes rejected since the start.
        PeersRefused = "peers.refused",
        /// Commits of intents to which the table responded since the start.
        IntentCommits = "intents.commits",
        /// Rows in these commits since the start.
        IntentRows = "intents.rows",
        /// Commits of intents that failed since the start.
        IntentsFailed = "intents.failed",
        /// Intents rejected immediately since the start.
        IntentsRefused = "intents.refused",
        /// Outcomes of calls that could not be recorded since the start.
        IntentsUnrecorded = "intents.unrecorded",
    }
}

names! {
    /// Durations, each as a histogram in nanoseconds.
    Timing {
        /// Duration of a caller's request, from its head to the last byte of the response.
        Request = "request.time",
        /// Time from the head of a request to the first token.
        FirstToken = "first_token.time",
        /// Time from the loss of a runner to the next token.
        Resume = "resume.time",
    }
}

/// A handle for recording metrics; clones share their counters.
#[derive(Clone)]
pub struct Metrics {
    shared: Arc<Shared>,
}

struct Shared {
    counts: [AtomicU64; Counter::ALL.len()],
    client: Option<StatsdClient>,
}

impl Metrics {
    /// Creates metrics without a collector: counters are kept in memory, and gauges and durations discarded.
    pub fn in_memory() -> Metrics {
        Metrics::with_client(None)
    }

    /// Creates metrics for the collector in the settings, or without a collector if there are no settings.
    pub fn start(settings: Option<&settings::Metrics>) -> io::Result<Metrics> {
        match settings {
            Some(settings) => Ok(Metrics::with_client(Some(statsd_client(settings.statsd)?))),
            None => Ok(Metrics::in_memory()),
        }
    }

    fn with_client(client: Option<StatsdClient>) -> Metrics {
        let counts = array::from_fn(|_| AtomicU64::new(0));
        Metrics { shared: Arc::new(Shared { counts, client }) }
    }

    /// Increases a counter.
    pub fn add(&self, counter: Counter, count: u64) {
        self.shared.counts[counter as usize].fetch_add(count, Relaxed);
    }

    /// Returns the value that a counter has accumulated since the last flush.
    pub fn pending(&self, counter: Counter) -> u64 {
        self.shared.counts[counter as usize].load(Relaxed)
    }

    /// Sends a gauge.
    pub fn set(&self, gauge: Gauge, value: u64) {
        if let Some(client) = &self.shared.client {
            client.gauge_with_tags(gauge.name(), value).send();
        }
    }

    /// Sends a duration.
    pub fn time(&self, timing: Timing, time: Duration) {
        if let Some(client) = &self.shared.client {
            client.histogram_with_tags(timing.name(), time).send();
        }
    }

    /// Sends the counters accumulated since the last flush; must be called about once per second.
    pub fn flush(&self) {
        let Some(client) = &self.shared.client else { return };
        for counter in Counter::ALL {
            let count = self.shared.counts[*counter as usize].swap(0, Relaxed);
            if count > 0 {
                client.count_with_tags(counter.name(), count).send();
            }
        }
        // If the collector is unreachable, these values are lost; later ones may arrive.
        _ = client.flush();
    }
}

/// Records gauges once per flush interval; never returns.
pub async fn measure_periodically(metrics: Metrics, measure: impl Fn(&Metrics)) {
    let mut ticks = tokio::time::interval(FLUSH_INTERVAL);
    loop {
        ticks.tick().await;
        measure(&metrics);
    }
}

/// Flushes once per flush interval; never returns.
pub async fn flush_periodically(metrics: Metrics) {
    let mut ticks = tokio::time::interval(FLUSH_INTERVAL);
    loop {
        ticks.tick().await;
        metrics.flush();
    }
}

fn statsd_client(collector: SocketAddr) -> io::Result<StatsdClient> {
    let local = match collector {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::with_capacity(collector, socket, MAX_DATAGRAM_BYTES)
        .map_err(io::Error::other)?;
    Ok(StatsdClient::from_sink(PREFIX, sink))
}
