//! Definition of the command `admission`.

use {
    super::{file_arg, output_arg},
    clap::{Arg, ArgGroup, Command, builder::ValueParser},
    compact_str::CompactString,
    jiff::SignedDuration,
};

/// Maximum bytes of a name, so that the key of a row is not too long for the instances.
const MAX_NAME_BYTES: usize = 128;
/// Maximum characters of a reason, so that a row is not too long for the instances.
const MAX_REASON_CHARS: usize = 200;
/// Maximum time of a limit. A lasting change belongs in the catalogue.
const MAX_TIME: SignedDuration = SignedDuration::from_hours(24);

/// Builds the command `admission`.
pub(super) fn command() -> Command {
    Command::new("admission")
        .about("Limits the requests of a route or an account at all entry instances for a time")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([limit(), list(), lift()])
        .after_help(
            "Example:\n  \
             bilberryfront admission limit --settings instance.jsonc --service summary --route free \
             --share 0.25 --for 10m --reason 'overload'",
        )
}

fn limit() -> Command {
    let share = Arg::new("share")
        .long("share")
        .value_name("SHARE")
        .value_parser(ValueParser::new(parse_share))
        .required(true)
        .help("Share of the requests that are still admitted, from 0 (none) to 1 (all)");
    let time = Arg::new("for")
        .long("for")
        .value_name("DURATION")
        .value_parser(ValueParser::new(parse_time))
        .required(true)
        .help("Time until the limit ends by itself, such as 10m; at most 24h");
    let reason = Arg::new("reason")
        .long("reason")
        .value_name("TEXT")
        .value_parser(ValueParser::new(parse_reason))
        .required(true)
        .help("Reason, shown by `admission list` and in the instances' logs");
    with_subject(Command::new("limit"))
        .about("Admits only a share of the requests of a route or an account to a service")
        .args([share, time, reason])
        .arg(output_arg())
        .after_help(
            "Example:\n  \
             bilberryfront admission limit --settings instance.jsonc --service summary --route free \
             --share 0.25 --for 10m --reason 'overload'\n\n\
             An earlier limit on the same service and route or account is replaced.",
        )
}

fn list() -> Command {
    Command::new("list")
        .about("Lists the limits in force")
        .args([settings_arg(), output_arg()])
        .after_help("Example:\n  bilberryfront admission list --settings instance.jsonc")
}

fn lift() -> Command {
    with_subject(Command::new("lift"))
        .about("Ends a limit before its time")
        .arg(output_arg())
        .after_help(
            "Example:\n  \
             bilberryfront admission lift --settings instance.jsonc --service summary --route free",
        )
}

/// Adds the arguments that name a limit.
fn with_subject(command: Command) -> Command {
    let name_arg = |id: &'static str, value: &'static str, help: &'static str| {
        let arg = Arg::new(id).long(id).value_name(value).help(help);
        arg.value_parser(ValueParser::new(parse_name))
    };
    let service = Arg::new("service")
        .long("service")
        .value_name("SERVICE")
        .value_parser(ValueParser::new(parse_service))
        .required(true)
        .help("Service, as in the platform's catalogue");
    command
        .args([settings_arg(), service])
        .arg(name_arg("route", "ROUTE", "Limits the requests of this route"))
        .arg(name_arg("account", "ACCOUNT", "Limits the requests of this tenant"))
        .group(ArgGroup::new("subject").args(["route", "account"]).required(true))
}

fn settings_arg() -> Arg {
    let settings = file_arg("settings", "Settings of an entry instance, which name the store");
    settings.long("settings").value_name("FILE").env("BILBERRYFRONT_CONFIG").required(true)
}

fn parse_name(text: &str) -> Result<CompactString, String> {
    match !text.is_empty() && text.len() <= MAX_NAME_BYTES && !text.chars().any(char::is_control) {
        true => Ok(text.into()),
        false => Err(format!("write a name of 1 to {MAX_NAME_BYTES} bytes")),
    }
}

fn parse_service(text: &str) -> Result<CompactString, String> {
    match text.contains('/') {
        true => Err("write the name of a service, without `/`".into()),
        false => parse_name(text),
    }
}

fn parse_share(text: &str) -> Result<f64, String> {
    let share = text.parse::<f64>().map_err(|error| error.to_string())?;
    match (0.0..=1.0).contains(&share) {
        true => Ok(share),
        false => Err("write a share from 0 to 1, such as 0.25 for a quarter".into()),
    }
}

fn parse_time(text: &str) -> Result<SignedDuration, String> {
    let time = text.parse::<SignedDuration>().ok();
    let is_valid = |time: &SignedDuration| (SignedDuration::from_secs(1)..=MAX_TIME).contains(time);
    time.filter(is_valid).ok_or_else(|| "write a duration from 1s to 24h, such as 10m".into())
}

fn parse_reason(text: &str) -> Result<CompactString, String> {
    let reason = text.trim();
    let count = reason.chars().count();
    match (1..=MAX_REASON_CHARS).contains(&count) && !reason.chars().any(char::is_control) {
        true => Ok(reason.into()),
        false => Err(format!("write a reason of 1 to {MAX_REASON_CHARS} characters on one line")),
    }
}
