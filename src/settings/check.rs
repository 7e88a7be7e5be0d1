//! Validation of settings beyond their types.

use {
    super::{
        Settings, identity,
        locate::{Document, LocatedFault},
    },
    bilberryfront_decide::catalog::{FaultKind, Step, is_digest},
    std::net::SocketAddr,
};

/// Maximum number of traffic threads; more are not useful on one instance.
const MAX_THREADS: usize = 256;
/// Maximum time, in seconds, for which callers may cache a list of addresses.
const MAX_TTL_SECS: u32 = 3_600;
/// Valid values of `log.level`.
const LOG_LEVELS: [&str; 4] = ["error", "warn", "info", "debug"];

/// Returns all faults of `settings`, which were parsed from `doc`.
pub fn find_faults(doc: &Document, settings: &Settings) -> Vec<LocatedFault> {
    let mut faults = Vec::new();
    check_names(doc, settings, &mut faults);
    check_listeners(doc, settings, &mut faults);
    check_platform(doc, settings, &mut faults);
    check_operators(doc, settings, &mut faults);
    check_ranges(doc, settings, &mut faults);
    identity::check(doc, settings, &mut faults);
    faults
}

fn check_names(doc: &Document, settings: &Settings, faults: &mut Vec<LocatedFault>) {
    let names =
        [("name", &settings.name), ("region", &settings.region), ("domain", &settings.domain)];
    for (field, _) in names.iter().filter(|(_, value)| value.trim().is_empty()) {
        let help = "write the name that the platform's instance list has";
        faults.push(doc.fault(&[Step::Field(field)], format!("`{field}` is empty"), help));
    }
}

/// Checks that the TCP listeners for callers and operators don't share a port. The peer listener is UDP
/// and may use the same port number.
fn check_listeners(doc: &Document, settings: &Settings, faults: &mut Vec<LocatedFault>) {
    let listen = &settings.listen;
    if is_conflict(listen.callers, listen.operators) {
        faults.push(doc.fault(
            &[Step::Field("listen"), Step::Field("operators")],
            format!("`callers` and `operators` both listen on port {}", listen.operators.port()),
            "give each listener a port of its own",
        ));
    }
}

fn is_conflict(a: SocketAddr, b: SocketAddr) -> bool {
    let same_host = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_host
}

fn check_platform(doc: &Document, settings: &Settings, faults: &mut Vec<LocatedFault>) {
    let urls = [("table", &settings.platform.table), ("instances", &settings.platform.instances)];
    for (field, url) in urls.iter().filter(|(_, url)| !is_base_url(url)) {
        faults.push(doc.fault(
            &[Step::Field("platform"), Step::Field(field)],
            format!("`{url}` is not a base URL"),
            "write http://HOST:PORT, without a trailing slash",
        ));
    }
}

fn is_base_url(url: &str) -> bool {
    let uri = url.parse::<http::Uri>();
    url.starts_with("http://") && !url.ends_with('/') && uri.is_ok_and(|u| u.host().is_some())
}

fn check_operators(doc: &Document, settings: &Settings, faults: &mut Vec<LocatedFault>) {
    if settings.operators.is_empty() {
        let help = format!(
            "without a key nobody can apply a catalogue; {}",
            FaultKind::InvalidDigest.help()
        );
        faults.push(doc.fault(&[Step::Field("operators")], "`operators` has no digest", &help));
    }
    for (i, _) in settings.operators.iter().enumerate().filter(|(_, d)| !is_digest(d)) {
        let path = [Step::Field("operators"), Step::Item(i)];
        let fault = FaultKind::InvalidDigest;
        faults.push(doc.fault(&path, fault.to_string(), &fault.help()));
    }
}

fn check_ranges(doc: &Document, settings: &Settings, faults: &mut Vec<LocatedFault>) {
    if !(1..=MAX_THREADS).contains(&settings.traffic.threads) {
        faults.push(doc.fault(
            &[Step::Field("traffic"), Step::Field("threads")],
            format!("{} traffic threads", settings.traffic.threads),
            &format!("write a number from 1 to {MAX_THREADS}, such as the number of cores"),
        ));
    }
    if !(1..=MAX_TTL_SECS).contains(&settings.drain.ttl) {
        faults.push(doc.fault(
            &[Step::Field("drain"), Step::Field("ttl")],
            format!("a time to live of {} seconds", settings.drain.ttl),
            &format!("write a number of seconds from 1 to {MAX_TTL_SECS}"),
        ));
    }
    if !LOG_LEVELS.contains(&settings.log.level.as_str()) {
        faults.push(doc.fault(
            &[Step::Field("log"), Step::Field("level")],
            format!("unknown level `{}`", settings.log.level),
            &format!("write one of {}", LOG_LEVELS.join(", ")),
        ));
    }
}
