//! Memory of a node per stream that waits for its next token.

use {
    crate::{
        deployment::{Endpoint, open_stream, start},
        process::resident,
    },
    bilberryfront_harness::{fleet::Fleet, http::client},
    bilberryfront_standins::faults::{After, Faults},
    futures_util::{StreamExt, TryStreamExt, stream},
    std::{io, time::Duration},
    tokio::time::sleep,
    volo_http::{
        body::Body,
        client::{Client, sse::SseReader},
    },
};

/// Number of runner processes.
const RUNNERS: usize = 4;
/// Maximum number of streams being opened at the same time.
const CONCURRENT_OPENS: usize = 50;
/// Number of open streams at each measurement.
const STREAM_COUNTS: [usize; 3] = [0, 1_000, 4_000];
/// Time for buffers that were used while opening to be released.
const SETTLE_TIME: Duration = Duration::from_secs(2);

pub(crate) async fn run() -> io::Result<()> {
    let args = ["--token-ms", "0", "--answer-tokens", "100", "--slots", "2000"];
    let fleet = start(RUNNERS, 1, &args).await?;
    let pid = fleet.nodes[0].server.process.id();
    let client = client();
    open_streams(&fleet, &client, 0, 200).await?;
    let stall = Some(After { tokens: 1, once: false });
    for runner in &fleet.runners {
        fleet.faults(runner, &Faults { stall, ..Faults::default() }).await?;
    }
    let (mut held, mut base) = (Vec::new(), 0);
    println!("{:>8} {:>12} {:>12}", "streams", "resident KiB", "KiB/stream");
    for count in STREAM_COUNTS {
        held.extend(open_streams(&fleet, &client, held.len(), count).await?);
        sleep(SETTLE_TIME).await;
        let resident = resident(pid)?;
        if count == 0 {
            base = resident;
        }
        let each = resident.saturating_sub(base) as f64 / count.max(1) as f64;
        println!("{count:>8} {resident:>12} {each:>12.1}");
    }
    drop(held);
    sleep(SETTLE_TIME).await;
    println!("after all streams have closed: {} KiB", resident(pid)?);
    Ok(())
}

/// Opens streams up to `to` and reads the first event of each.
async fn open_streams(
    fleet: &Fleet,
    client: &Client,
    from: usize,
    to: usize,
) -> io::Result<Vec<SseReader<Body>>> {
    let url = &fleet.urls()[0];
    let one = |i: usize| async move {
        let response = open_stream(client, Endpoint::Node, url, format!("document {i}")).await;
        let mut reader =
            SseReader::into_sse(response.map_err(io::Error::other)?).map_err(io::Error::other)?;
        match reader.read().await.map_err(io::Error::other)? {
            Some(_) => Ok(reader),
            None => Err(io::Error::other(format!("stream {i} ended before its first event"))),
        }
    };
    stream::iter((from..to).map(one)).buffer_unordered(CONCURRENT_OPENS).try_collect().await
}
