//! Cost of the control functions: the figures from which docs/CAPACITY.md extrapolates to the design size.

mod idle;
mod peers;
mod platform;
mod state;

use {
    crate::process::own_cpu,
    bilberryfront_wire::instance::{Instance, InstanceKind, InstanceList, InstanceState},
    compact_str::format_compact,
    std::io,
    tokio::{runtime::Runtime, time::Instant},
};

/// Number of failure domains at the design size.
const DOMAINS: usize = 9;
/// Runners and nodes, from the current size to the design size.
const SIZES: [(usize, usize); 4] = [(35, 6), (300, 100), (1_500, 400), (4_900, 1_100)];

pub(crate) fn run(runtime: &Runtime) -> io::Result<()> {
    state::run();
    peers::run()?;
    runtime.block_on(platform::run())?;
    runtime.block_on(idle::run())
}

/// Returns the mean wall time of `act` in microseconds, from the best of five series.
fn micros(rounds: u32, mut act: impl FnMut()) -> f64 {
    let series = |_| {
        let started = Instant::now();
        (0..rounds).for_each(|_| act());
        started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
    };
    (0..5).map(series).fold(f64::INFINITY, f64::min)
}

/// Returns the processor time that this process uses for `act`, in microseconds.
async fn spent(act: impl Future<Output = io::Result<()>>) -> io::Result<f64> {
    let before = own_cpu();
    act.await?;
    Ok((own_cpu() - before) as f64 / 1e3)
}

/// Returns an instance list with names as long as those of a real platform.
fn list(runners: usize, nodes: usize) -> InstanceList {
    let runners = (0..runners).map(|i| instance(InstanceKind::Engine, i));
    let nodes = (0..nodes).map(|i| instance(InstanceKind::Node, i));
    InstanceList { revision: 1, instances: runners.chain(nodes).collect() }
}

fn instance(kind: InstanceKind, i: usize) -> Instance {
    let node = kind == InstanceKind::Node;
    let (high, low) = (i / 250, i % 250);
    let name = if node { "node" } else { "runner" };
    Instance {
        name: format_compact!("{name}-{i:04}"),
        kind,
        url: format_compact!("http://10.{}.{high}.{low}:8080", u8::from(node)),
        domain: format_compact!("east-mids-{}", i % DOMAINS),
        entry: if node { "".into() } else { format_compact!("model-{}", i / DOMAINS % 3) },
        version: if node { "".into() } else { "2026-11-01".into() },
        state: InstanceState::Live,
        fenced: false,
        peer: node.then(|| format_compact!("10.1.{high}.{low}:7000")),
    }
}
