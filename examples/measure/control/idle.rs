//! Node processes at current sizes without requests, so that all processor time is spent on control.

use {
    crate::{
        deployment::start,
        process::{cpu, resident},
    },
    std::{io, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Nodes and runners: a single node, the size of the Trentside deployment, that of the Arequipa
/// deployment, and the latter with twice the runners.
const SIZES: [(usize, usize); 4] = [(1, 1), (6, 20), (6, 35), (6, 70)];
/// Time for the processes to finish starting.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time over which processor time is measured.
const MEASURED_TIME: Duration = Duration::from_secs(12);

pub(super) async fn run() -> io::Result<()> {
    println!(
        "\nnode processes without requests, mean of all nodes over {} s:",
        MEASURED_TIME.as_secs()
    );
    println!(
        "{:>6} {:>8} {:>20} {:>20} {:>14}",
        "nodes", "runners", "control, % of a core", "process, % of a core", "resident KiB"
    );
    for (nodes, runners) in SIZES {
        let fleet = start(runners, nodes, &["--token-ms", "20"]).await?;
        sleep(SETTLE_TIME).await;
        let pids = fleet.nodes.iter().map(|n| n.server.process.id()).collect::<Vec<_>>();
        let (before, started) = (total_cpu(&pids)?, Instant::now());
        sleep(MEASURED_TIME).await;
        let (after, wall) = (total_cpu(&pids)?, started.elapsed().as_nanos() as f64);
        let share = |spent: u64| 100.0 * spent as f64 / wall / nodes as f64;
        let memory = pids.iter().map(|&p| resident(p)).sum::<io::Result<u64>>()? / nodes as u64;
        println!(
            "{nodes:>6} {runners:>8} {:>20.2} {:>20.2} {memory:>14}",
            share(after.0 - before.0),
            share(after.1 - before.1),
        );
    }
    Ok(())
}

/// Returns the processor time of the control threads and of the processes, in nanoseconds.
fn total_cpu(pids: &[u32]) -> io::Result<(u64, u64)> {
    pids.iter().try_fold((0, 0), |(control, all), &pid| {
        let cpu = cpu(pid)?;
        Ok((control + cpu.control, all + cpu.all))
    })
}
