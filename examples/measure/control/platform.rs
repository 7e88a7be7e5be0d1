//! Cost of reading the platform and the runners over HTTP: processor time and bytes transferred.

use {
    super::{list, spent},
    crate::deployment::{ENGINE, role},
    bilberryfront::platform::{http::Service, instances},
    bilberryfront_harness::{
        fleet::{Fleet, Programs},
        http::post,
    },
    bilberryfront_wire::{
        runner::LoadReport,
        table::{Commit, Read, Rows, Write},
    },
    compact_str::{CompactString, format_compact},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering::Relaxed},
        },
        time::Duration,
    },
    tokio::net::{TcpListener, TcpStream},
};

/// Number of reads in a series.
const READS: u32 = 1_000;
/// Number of reads through the relay that counts bytes, and of the instance list.
const COUNTED_READS: u32 = 20;
/// Time-out of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) async fn run() -> io::Result<()> {
    println!(
        "\nreading over HTTP, processor time of the reader only, bytes in both directions without TCP and IP:"
    );
    let programs = Programs { standin: || role("standin"), product: || role("node") };
    let mut fleet = Fleet::new(programs)?;
    fleet.start("runner", "runner-0", &["--entry", ENGINE])?;
    measure_load_reports(&fleet.runners[0].url).await?;
    measure_catalogue_head(&fleet).await?;
    measure_instance_list(&fleet).await
}

/// Measures a load report over a persistent connection, and with a new client and connection each time.
async fn measure_load_reports(url: &str) -> io::Result<()> {
    let kept = Service::new(url.into(), REQUEST_TIMEOUT);
    let read = async |service: &Service| -> io::Result<()> {
        service.get::<LoadReport>("/load").await.map(|_| ()).map_err(io::Error::other)
    };
    read(&kept).await?;
    let series = async {
        for _ in 0..READS {
            read(&kept).await?;
        }
        Ok(())
    };
    let on_kept = spent(series).await? / f64::from(READS);
    let series = async {
        for _ in 0..READS {
            read(&Service::new(url.into(), REQUEST_TIMEOUT)).await?;
        }
        Ok(())
    };
    let on_new = spent(series).await? / f64::from(READS);
    let (relay, bytes) = start_relay(url).await?;
    let counted = Service::new(relay, REQUEST_TIMEOUT);
    for _ in 0..COUNTED_READS {
        read(&counted).await?;
    }
    let bytes = bytes.load(Relaxed) / u64::from(COUNTED_READS);
    println!(
        "load report: {on_kept:.0} µs on a persistent connection, {on_new:.0} µs with a new client; {bytes} bytes"
    );
    Ok(())
}

/// Measures a read of the catalogue's head revision, which every node polls.
async fn measure_catalogue_head(fleet: &Fleet) -> io::Result<()> {
    let write = Write { key: "catalogue/head".into(), expect: None, value: Some("1".into()) };
    let commit = Commit { atomic: true, writes: vec![write] };
    post(fleet.client(), &format!("{}/commit", fleet.table.url), &commit).await?;
    let request = Read { keys: vec!["catalogue/head".into()] };
    let service = Service::new(fleet.table.url.as_str().into(), REQUEST_TIMEOUT);
    let read = async |service: &Service| -> io::Result<()> {
        service.post::<_, Rows>("/read", &request).await.map(|_| ()).map_err(io::Error::other)
    };
    let series = async {
        for _ in 0..READS {
            read(&service).await?;
        }
        Ok(())
    };
    let each = spent(series).await? / f64::from(READS);
    let (relay, bytes) = start_relay(&fleet.table.url).await?;
    let counted = Service::new(relay, REQUEST_TIMEOUT);
    for _ in 0..COUNTED_READS {
        read(&counted).await?;
    }
    println!(
        "catalogue head: {each:.0} µs; {} bytes",
        bytes.load(Relaxed) / u64::from(COUNTED_READS)
    );
    Ok(())
}

/// Measures a read of the complete instance list, including parsing.
async fn measure_instance_list(fleet: &Fleet) -> io::Result<()> {
    let service = Service::new(fleet.list.url.as_str().into(), REQUEST_TIMEOUT);
    let mut listed = 1;
    for (runners, nodes) in super::SIZES {
        let list = list(runners, nodes);
        for instance in &list.instances {
            let url = format!("{}/instances/{}", fleet.list.url, instance.name);
            post(fleet.client(), &url, instance).await?;
        }
        listed = listed.max(list.instances.len());
        let series = async {
            for _ in 0..COUNTED_READS {
                instances::read(&service).await.map_err(io::Error::other)?;
            }
            Ok(())
        };
        let each = spent(series).await? / f64::from(COUNTED_READS);
        let (relay, bytes) = start_relay(&fleet.list.url).await?;
        let counted = Service::new(relay, REQUEST_TIMEOUT);
        for _ in 0..COUNTED_READS {
            instances::read(&counted).await.map_err(io::Error::other)?;
        }
        let bytes = bytes.load(Relaxed) / u64::from(COUNTED_READS);
        println!("instance list of {listed}: {each:.0} µs; {bytes} bytes");
    }
    Ok(())
}

/// Starts a relay to `url` that counts the bytes transferred in both directions.
async fn start_relay(url: &str) -> io::Result<(CompactString, Arc<AtomicU64>)> {
    let to: SocketAddr = url.trim_start_matches("http://").parse().map_err(io::Error::other)?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let bytes = Arc::<AtomicU64>::default();
    let counter = bytes.clone();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(forward(near, to, counter.clone()));
        }
    });
    Ok((format_compact!("http://{address}"), bytes))
}

async fn forward(near: TcpStream, to: SocketAddr, counter: Arc<AtomicU64>) -> io::Result<()> {
    let far = TcpStream::connect(to).await?;
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let back = tokio::spawn(copy_counted(far_in, near_out, counter.clone()));
    copy_counted(near_in, far_out, counter).await?;
    back.await?
}

async fn copy_counted(
    from: tokio::net::tcp::OwnedReadHalf,
    to: tokio::net::tcp::OwnedWriteHalf,
    counter: Arc<AtomicU64>,
) -> io::Result<()> {
    let mut buffer = vec![0; 64 << 10];
    loop {
        from.readable().await?;
        let count = match from.try_read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(count) => count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        };
        counter.fetch_add(count as u64, Relaxed);
        let mut rest = &buffer[..count];
        while !rest.is_empty() {
            to.writable().await?;
            match to.try_write(rest) {
                Ok(written) => rest = &rest[written..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }
}
