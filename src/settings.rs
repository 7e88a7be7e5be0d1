//! A node's settings file: JSON with comments.

pub mod check;
pub mod identity;
pub mod locate;
pub mod relay;

use {
    crate::error::Result,
    compact_str::CompactString,
    locate::Document,
    serde::Deserialize,
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// Reads and checks a settings file; relative paths in it start at its folder.
pub fn load(path: &Path) -> Result<Settings> {
    let doc = Document::read(path)?;
    let mut settings = doc.parse::<Settings>()?;
    let folder = path.parent().unwrap_or(Path::new(""));
    settings.tls.resolve(folder);
    doc.ensure_no_faults(check::find_faults(&doc, &settings))?;
    Ok(settings)
}

/// Settings of a node.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Unique name of the instance, as in the platform's list.
    pub name: CompactString,
    /// Region, such as `east-mids`.
    pub region: CompactString,
    /// Failure domain, such as `east-mids-a`.
    pub domain: CompactString,
    /// Addresses to listen on; port 0 takes a free one.
    pub listen: Listen,
    /// Where the platform's services are.
    pub platform: Platform,
    /// Lower-case hex SHA-256 digests of the keys that operators may use.
    pub operators: Vec<CompactString>,
    /// Certificates for talking to other nodes.
    pub tls: Tls,
    /// How traffic is carried.
    #[serde(default)]
    pub traffic: Traffic,
    /// How to leave.
    #[serde(default)]
    pub drain: Drain,
    /// What to log.
    #[serde(default)]
    pub log: Log,
    /// Where to send metrics; nowhere when absent.
    #[serde(default)]
    pub metrics: Option<Metrics>,
}

/// Addresses to listen on.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Operators' HTTP.
    pub operators: SocketAddr,
    /// Other nodes, QUIC over UDP.
    pub peers: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Base URL of the table service.
    pub table: CompactString,
    /// Base URL of the instance list.
    pub instances: CompactString,
}

/// Certificate files in PEM, relative to the settings file.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate chain of this node; its first DNS name is the node's name.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
    /// Certificates of the authority that signs every node's certificate.
    pub authority: PathBuf,
}

impl Tls {
    fn resolve(&mut self, folder: &Path) {
        for path in [&mut self.certificate, &mut self.key, &mut self.authority] {
            *path = folder.join(&*path);
        }
    }
}

/// How traffic is carried.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Threads that carry requests and streams.
    pub threads: usize,
}

impl Default for Traffic {
    fn default() -> Traffic {
        Traffic { threads: 4 }
    }
}

/// How to leave.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drain {
    /// Seconds for which callers may keep an answer of `/v1/addresses`; a leaving node serves new
    /// requests for that long.
    pub ttl: u32,
}

impl Default for Drain {
    fn default() -> Drain {
        Drain { ttl: 10 }
    }
}

/// What to log.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Form of a line.
    pub format: LogFormat,
    /// Least severe level that is written: `error`, `warn`, `info` or `debug`.
    pub level: CompactString,
}

impl Default for Log {
    fn default() -> Log {
        Log { format: LogFormat::Json, level: "info".into() }
    }
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// For people.
    Text,
}

/// Where to send metrics.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Metrics {
    /// Address of a StatsD collector, UDP.
    pub statsd: SocketAddr,
}
