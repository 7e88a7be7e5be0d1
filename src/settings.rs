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

/// Reads and validates a settings file; relative paths in it are relative to its folder.
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
    /// Unique name of the instance, as in the platform's instance list.
    pub name: CompactString,
    /// Region, such as `east-mids`.
    pub region: CompactString,
    /// Failure domain, such as `east-mids-a`.
    pub domain: CompactString,
    /// Addresses to listen on; port 0 selects a free port.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Lower-case hex SHA-256 digests of the operators' keys.
    pub operators: Vec<CompactString>,
    /// Certificates for connections to other nodes.
    pub tls: Tls,
    /// Traffic threads.
    #[serde(default)]
    pub traffic: Traffic,
    /// Draining on shutdown.
    #[serde(default)]
    pub drain: Drain,
    /// Logging.
    #[serde(default)]
    pub log: Log,
    /// Destination of the metrics; not sent if absent.
    #[serde(default)]
    pub metrics: Option<Metrics>,
}

/// Addresses to listen on.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers, HTTP.
    pub callers: SocketAddr,
    /// Address for operators, HTTP.
    pub operators: SocketAddr,
    /// Address for other nodes, QUIC over UDP.
    pub peers: SocketAddr,
}

/// Addresses of the platform's services.
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
    /// Certificate chain of this node; the first DNS name is the node's name.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
    /// Certificates of the authority that signs the certificates of all nodes.
    pub authority: PathBuf,
}

impl Tls {
    fn resolve(&mut self, folder: &Path) {
        for path in [&mut self.certificate, &mut self.key, &mut self.authority] {
            *path = folder.join(&*path);
        }
    }
}

/// Traffic settings.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Number of threads that handle requests and streams.
    pub threads: usize,
}

impl Default for Traffic {
    fn default() -> Traffic {
        Traffic { threads: 4 }
    }
}

/// Settings for draining on shutdown.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drain {
    /// Time in seconds for which callers may cache a response of `/v1/addresses`; a draining node
    /// accepts new requests for that time.
    pub ttl: u32,
}

impl Default for Drain {
    fn default() -> Drain {
        Drain { ttl: 10 }
    }
}

/// Logging settings.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of a line.
    pub format: LogFormat,
    /// Minimum level: `error`, `warn`, `info` or `debug`.
    pub level: CompactString,
}

impl Default for Log {
    fn default() -> Log {
        Log { format: LogFormat::Json, level: "info".into() }
    }
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text for people.
    Text,
}

/// Destination of the metrics.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Metrics {
    /// UDP address of a StatsD collector.
    pub statsd: SocketAddr,
}
