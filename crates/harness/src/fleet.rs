//! A deployment on loopback: platform, runners, services and nodes, each in its own process.

use {
    crate::{
        certificates::Authority,
        http::{client, post},
        process::Process,
    },
    bilberryfront_standins::faults::Faults,
    bilberryfront_wire::{
        instance::{Instance, InstanceKind, InstanceState},
        table::{Commit, Write},
    },
    compact_str::{CompactString, ToCompactString},
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    std::{fs, io, net::SocketAddr, process::Command, time::Duration},
    tempfile::TempDir,
    tokio::time::sleep,
    volo_http::client::Client,
};

/// Key of the client account in [`catalog`].
pub const CALLER_KEY: &str = "caller-key";
/// Operator key in the settings of all nodes.
pub const OPERATOR_KEY: &str = "operator-key";
/// Seconds for which callers may cache the node addresses.
pub const TTL: u32 = 1;
/// Interval between two polls of a node's readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum polls of a node's readiness.
const MAX_POLLS: u32 = 500;

/// Commands that start the programs.
#[derive(Clone, Copy)]
pub struct Programs {
    /// Starts a stand-in; `KIND` and options are added.
    pub standin: fn() -> Command,
    /// Starts the product; `serve --settings FILE` is added.
    pub product: fn() -> Command,
}

/// A process that serves HTTP.
pub struct Server {
    /// The process.
    pub process: Process,
    /// Name in the instance list; empty for a service of the platform.
    pub name: CompactString,
    /// Base URL.
    pub url: String,
}

/// A node with the addresses of its three interfaces.
pub struct Node {
    /// Process and base URL of the callers' interface.
    pub server: Server,
    /// Base URL of the operators' interface.
    pub operators: String,
    /// `IP:PORT` of the peer transport.
    pub peers: CompactString,
}

/// All processes of a deployment, killed when dropped.
pub struct Fleet {
    /// The platform's table service.
    pub table: Server,
    /// The platform's instance list.
    pub list: Server,
    /// Runners and plain services.
    pub runners: Vec<Server>,
    /// Nodes.
    pub nodes: Vec<Node>,
    /// StatsD collector in the settings of nodes that are started later.
    pub statsd: Option<SocketAddr>,
    programs: Programs,
    folder: TempDir,
    authority: Authority,
    client: Client,
}

impl Fleet {
    /// Starts the stand-ins of the platform.
    pub fn new(programs: Programs) -> io::Result<Fleet> {
        Ok(Fleet {
            table: start_server((programs.standin)().arg("table"), "")?,
            list: start_server((programs.standin)().arg("list"), "")?,
            runners: Vec::new(),
            nodes: Vec::new(),
            statsd: None,
            programs,
            folder: TempDir::new()?,
            authority: Authority::new(),
            client: client(),
        })
    }

    /// Starts a stand-in that registers itself in the instance list; `kind` is `runner` or `service`,
    /// and `args` are added to its command line.
    pub fn start(&mut self, kind: &str, name: &str, args: &[&str]) -> io::Result<()> {
        let mut command = (self.programs.standin)();
        command.args([kind, "--name", name, "--list", &self.list.url]).args(args);
        self.runners.push(start_server(&mut command, name)?);
        Ok(())
    }

    /// Starts a node and registers it in the instance list, as the platform does.
    pub async fn start_node(&mut self, name: &str, domain: &str) -> io::Result<()> {
        let settings = self.write_settings(name, domain)?;
        let mut command = (self.programs.product)();
        command.args(["serve", "--settings"]).arg(settings);
        let process = Process::start(&mut command)?;
        let addresses: Value =
            serde_json::from_str(&process.first_line).map_err(io::Error::other)?;
        let address = |name: &str| addresses[name].as_str().unwrap_or_default().to_owned();
        let url = format!("http://{}", address("callers"));
        let node = Node {
            server: Server { process, name: name.into(), url: url.clone() },
            operators: format!("http://{}", address("operators")),
            peers: address("peers").into(),
        };
        let instance = Instance {
            name: name.into(),
            kind: InstanceKind::Node,
            url: url.into(),
            domain: domain.into(),
            entry: CompactString::default(),
            version: CompactString::default(),
            state: InstanceState::Live,
            fenced: false,
            peer: Some(node.peers.clone()),
        };
        self.nodes.push(node);
        post(&self.client, &format!("{}/instances/{name}", self.list.url), &instance).await?;
        Ok(())
    }

    /// Waits until every node reports that it is ready.
    pub async fn ready(&self) -> io::Result<()> {
        for node in &self.nodes {
            let url = format!("{}/readyz", node.server.url);
            self.wait_for_success(&url).await?;
        }
        Ok(())
    }

    /// Writes a catalogue directly into the table, as revision `revision`.
    pub async fn apply(&self, revision: u64, catalog: &Value) -> io::Result<()> {
        let write =
            |key: String, value| Write { key: key.into(), expect: None, value: Some(value) };
        let commit = Commit {
            atomic: true,
            writes: vec![
                write(format!("catalogue/rev/{revision}"), catalog.to_string()),
                write("catalogue/head".into(), revision.to_string()),
            ],
        };
        post(&self.client, &format!("{}/commit", self.table.url), &commit).await?;
        Ok(())
    }

    /// Replaces the faults of a stand-in.
    pub async fn faults(&self, server: &Server, faults: &Faults) -> io::Result<()> {
        post(&self.client, &format!("{}/admin/faults", server.url), faults).await?;
        Ok(())
    }

    /// Returns the runner or service `name`.
    ///
    /// # Panics
    ///
    /// Panics if none of this name was started.
    pub fn runner(&mut self, name: &str) -> &mut Server {
        let found = self.runners.iter_mut().find(|r| r.name == name);
        found.unwrap_or_else(|| panic!("no runner or service {name:?} was started"))
    }

    /// Returns the base URLs of the callers' interfaces of all nodes.
    pub fn urls(&self) -> Vec<String> {
        self.nodes.iter().map(|n| n.server.url.clone()).collect()
    }

    /// Returns a temporary folder that is removed with the fleet.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Returns an HTTP client for the stand-ins.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Writes the certificates and the settings of a node; returns the path of the settings.
    fn write_settings(&self, name: &str, domain: &str) -> io::Result<std::path::PathBuf> {
        let folder = self.folder.path();
        self.authority.write(folder, name)?;
        let mut settings = json!({
            "name": name,
            "region": "region",
            "domain": domain,
            "listen": {
                "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
            },
            "platform": {"table": self.table.url, "instances": self.list.url},
            "operators": [digest(OPERATOR_KEY)],
            "tls": {
                "certificate": format!("{name}.pem"),
                "key": format!("{name}.key"),
                "authority": "authority.pem",
            },
            "drain": {"ttl": TTL},
            "log": {"level": "warn"},
        });
        if let Some(statsd) = self.statsd {
            settings["metrics"] = json!({"statsd": statsd});
        }
        let path = folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings.to_string())?;
        Ok(path)
    }

    /// Polls a URL until it returns a success status.
    async fn wait_for_success(&self, url: &str) -> io::Result<()> {
        for _ in 0..MAX_POLLS {
            let answer =
                crate::http::call(&self.client, http::Method::GET, url, &[], Vec::new()).await;
            if answer.is_ok_and(|a| a.status.is_success()) {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(io::Error::other(format!("{url} returned no success status in {MAX_POLLS} polls")))
    }
}

/// Returns a catalogue with one account that may use an engine entry and a service entry.
pub fn catalog(engine: &str, service: &str) -> Value {
    let entry = |name: &str, kind: &str| {
        json!({
            "name": name,
            "owner": "desk",
            "class": "interactive",
            "kind": kind,
            "versions": ["v1"],
            "version": "v1",
            "limits": {},
            "accounts": [{"account": "desk", "concurrent": 1000}],
        })
    };
    json!({
        "accounts": [{"name": "desk", "keys": [digest(CALLER_KEY)]}],
        "entries": [entry(engine, "engine"), entry(service, "service")],
    })
}

/// Returns the SHA-256 of a key in lower-case hexadecimal.
pub fn digest(key: &str) -> CompactString {
    Sha256::digest(key.as_bytes())
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect::<String>()
        .to_compact_string()
}

/// Starts a stand-in, which prints its URL as its first line.
fn start_server(command: &mut Command, name: &str) -> io::Result<Server> {
    let process = Process::start(command)?;
    let url = process.first_line.strip_prefix("listening on ").unwrap_or_default().to_owned();
    Ok(Server { process, name: name.into(), url })
}
