//! Arguments of `admission`.

use {
    super::{format, required, subcommand_matches},
    crate::{admission::LimitKey, output::Format},
    bilberryfront_decide::admission::throttle::Subject,
    clap::ArgMatches,
    compact_str::CompactString,
    jiff::SignedDuration,
    std::path::PathBuf,
};

/// Arguments of `admission`.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// Settings of an entry instance.
    pub settings: PathBuf,
    /// Output format.
    pub format: Format,
    /// Subcommand.
    pub command: AdmissionCommand,
}

/// Subcommands of `admission`.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionCommand {
    /// Write a limit.
    Limit {
        /// What it applies to.
        key: LimitKey,
        /// Share of the requests that are admitted, from 0 to 1.
        share: f64,
        /// Time until it ends.
        time: SignedDuration,
        /// Reason.
        reason: CompactString,
    },
    /// List the limits in force.
    List,
    /// Delete a limit.
    Lift(LimitKey),
}

impl AdmissionOptions {
    pub(super) fn from_matches(matches: &ArgMatches) -> AdmissionOptions {
        let (name, _) = matches.subcommand().expect("clap requires a subcommand");
        let inner = subcommand_matches(matches);
        let command = match name {
            "limit" => AdmissionCommand::Limit {
                key: limit_key(inner),
                share: required(inner, "share"),
                time: required(inner, "for"),
                reason: required(inner, "reason"),
            },
            "list" => AdmissionCommand::List,
            "lift" => AdmissionCommand::Lift(limit_key(inner)),
            _ => unreachable!("clap accepts only known subcommands"),
        };
        AdmissionOptions { settings: required(inner, "settings"), format: format(inner), command }
    }
}

fn limit_key(matches: &ArgMatches) -> LimitKey {
    let route = matches.get_one::<CompactString>("route").cloned();
    let subject = match route {
        Some(name) => Subject::Route(name),
        None => Subject::Account(required(matches, "account")),
    };
    LimitKey { service: required(matches, "service"), subject }
}
