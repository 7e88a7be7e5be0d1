//! Counters, gauges and histograms for a StatsD collector.
//!
//! Counters are added up in memory and sent by [`Metrics::flush`], so that counting a token costs
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

/// Prefix of every name.
const PREFIX: &str = "bilberryfront";
/// Time between two flushes.
const FLUSH_EVERY: Duration = Duration::from_secs(1);
/// Bytes of one datagram, below the usual Ethernet limit.
const DATAGRAM: usize = 1_432;

/// Declares an enum whose variants have a name each, and a list of all.
macro_rules! names {
    ($(#[$meta:meta])* $kind:ident { $($(#[$doc:meta])* $variant:ident = $name:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $kind {
            $($(#[$doc])* $variant,)*
        }

        impl $kind {
            /// Every variant in order.
            pub const ALL: &[$kind] = &[$($kind::$variant,)*];

            /// Name below the prefix.
            pub fn name(self) -> &'static str {
                match self {
                    $($kind::$variant => $name,)*
                }
            }
        }
    };
}

names! {
    /// What is counted.
    Counter {
        /// Callers' requests taken in.
        Requests = "requests",
        /// Callers' requests answered whole.
        Completed = "completed",
        /// Callers' requests refused with `not_run`.
        Refused = "refused",
        /// Callers' requests that ended with `partial`.
        Partial = "partial",
        /// Callers' requests that ended with `unknown`.
        Unknown = "unknown",
        /// Requests whose caller left before the end.
        Abandoned = "abandoned",
        /// Tokens delivered to callers.
        Tokens = "tokens",
        /// Tokens dropped as an older attempt's or as repeated.
        DroppedTokens = "tokens.dropped",
        /// Sends to runners.
        Sends = "sends",
        /// Runners whose connection could not be made or broke.
        RunnerBroken = "runners.broken",
        /// Runners that were silent for too long.
        RunnerStalled = "runners.stalled",
        /// Runners that answered with an error status.
        RunnerRejected = "runners.rejected",
        /// Runners whose stream broke its rules.
        RunnerGarbled = "runners.garbled",
        /// Generations continued on another runner.
        Resumes = "resumes",
        /// Sends that the retry budget did not allow.
        BudgetEmpty = "retries.over_budget",
    }
}

names! {
    /// What is measured now and then.
    Gauge {
        /// Requests and streams open.
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
        /// Messages taken from other nodes since the start.
        PeersReceived = "peers.received",
        /// Messages to other nodes dropped since the start.
        PeersDropped = "peers.dropped",
        /// Messages and connections of other nodes refused since the start.
        PeersRefused = "peers.refused",
        /// Commits of intents that the table answered since the start.
        IntentCommits = "intents.commits",
        /// Rows in these commits since the start.
        IntentRows = "intents.rows",
        /// Commits of intents that failed since the start.
        IntentsFailed = "intents.failed",
        /// Intents refused at once since the start.
        IntentsRefused = "intents.refused",
        /// Outcomes of calls that could not be recorded since the start.
        IntentsUnrecorded = "intents.unrecorded",
    }
}

names! {
    /// What is timed, each as a histogram in nanoseconds.
    Timing {
        /// A caller's request, from its head to the last byte of its answer.
        Request = "request.time",
        /// A generation, from the request's head to its first token.
        FirstToken = "first_token.time",
        /// From a runner's loss to the next token.
        Resume = "resume.time",
    }
}

/// A handle for counting; clones share their counters.
#[derive(Clone)]
pub struct Metrics {
    shared: Arc<Shared>,
}

struct Shared {
    counts: [AtomicU64; Counter::ALL.len()],
    client: Option<StatsdClient>,
}

impl Metrics {
    /// Counts in memory only.
    pub fn in_memory() -> Metrics {
        Metrics::with(None)
    }

    /// Sends to the collector of the settings, or nowhere.
    pub fn start(settings: Option<&settings::Metrics>) -> io::Result<Metrics> {
        match settings {
            Some(settings) => Ok(Metrics::with(Some(client(settings.statsd)?))),
            None => Ok(Metrics::in_memory()),
        }
    }

    fn with(client: Option<StatsdClient>) -> Metrics {
        let counts = array::from_fn(|_| AtomicU64::new(0));
        Metrics { shared: Arc::new(Shared { counts, client }) }
    }

    /// Adds to a counter.
    pub fn add(&self, counter: Counter, count: u64) {
        self.shared.counts[counter as usize].fetch_add(count, Relaxed);
    }

    /// What was counted since the last flush.
    pub fn pending(&self, counter: Counter) -> u64 {
        self.shared.counts[counter as usize].load(Relaxed)
    }

    /// Sends a gauge.
    pub fn set(&self, gauge: Gauge, value: u64) {
        if let Some(client) = &self.shared.client {
            client.gauge_with_tags(gauge.name(), value).send();
        }
    }

    /// Sends a time.
    pub fn time(&self, timing: Timing, time: Duration) {
        if let Some(client) = &self.shared.client {
            client.histogram_with_tags(timing.name(), time).send();
        }
    }

    /// Sends what was counted since the last flush; to be called every second or so.
    pub fn flush(&self) {
        let Some(client) = &self.shared.client else { return };
        for counter in Counter::ALL {
            let count = self.shared.counts[*counter as usize].swap(0, Relaxed);
            if count > 0 {
                client.count_with_tags(counter.name(), count).send();
            }
        }
        // A collector that is away loses these figures; the next ones may reach it.
        _ = client.flush();
    }
}

/// Sets gauges for ever, once for each flush.
pub async fn measure_periodically(metrics: Metrics, measure: impl Fn(&Metrics)) {
    let mut ticks = tokio::time::interval(FLUSH_EVERY);
    loop {
        ticks.tick().await;
        measure(&metrics);
    }
}

/// Flushes for ever.
pub async fn flush_periodically(metrics: Metrics) {
    let mut ticks = tokio::time::interval(FLUSH_EVERY);
    loop {
        ticks.tick().await;
        metrics.flush();
    }
}

fn client(collector: SocketAddr) -> io::Result<StatsdClient> {
    let any = match collector {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::with_capacity(collector, socket, DATAGRAM)
        .map_err(io::Error::other)?;
    Ok(StatsdClient::from_sink(PREFIX, sink))
}
