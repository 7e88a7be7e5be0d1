//! Command-line program that runs a stand-in: `standin KIND --listen IP:PORT ...`.

use {
    crate::{
        list::List,
        runner::{Runner, RunnerConfig},
        server::Handle,
        service::{Service, ServiceConfig},
        table::Table,
    },
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    compact_str::CompactString,
    std::{
        io::{self, Write as _},
        net::SocketAddr,
        process::ExitCode,
        time::Duration,
    },
    tokio::signal::unix::{SignalKind, signal},
};

/// Exit code after the fault `die`, as of a process killed by SIGKILL (128 + 9).
const KILLED_EXIT_CODE: u8 = 137;

/// Runs the stand-in given on the command line until SIGTERM, Ctrl-C or the fault `die`.
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the system provides timers and I/O polling");
    match runtime.block_on(run(&matches)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(matches: &ArgMatches) -> io::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let handle = start(matches).await?;
    println!("listening on {}", handle.url());
    io::stdout().flush()?;
    tokio::select! {
        () = handle.faults.wait_until_killed() => Ok(ExitCode::from(KILLED_EXIT_CODE)),
        _ = terminate.recv() => Ok(ExitCode::SUCCESS),
        _ = tokio::signal::ctrl_c() => Ok(ExitCode::SUCCESS),
    }
}

async fn start(matches: &ArgMatches) -> io::Result<Handle> {
    let (kind, matches) = matches.subcommand().expect("clap requires a subcommand");
    let listen = *matches.get_one::<SocketAddr>("listen").expect("it has a default");
    match kind {
        "runner" => Runner::start(listen, runner(matches)).await,
        "service" => Service::start(listen, service(matches)).await,
        "list" => List::start(listen, millis(matches, "lag-ms")).await,
        _ => Table::start(listen).await,
    }
}

fn runner(matches: &ArgMatches) -> RunnerConfig {
    RunnerConfig {
        name: text(matches, "name"),
        entry: text(matches, "entry"),
        version: text(matches, "version"),
        domain: text(matches, "domain"),
        pace: millis(matches, "token-ms"),
        slots: *matches.get_one("slots").expect("it has a default"),
        lag: millis(matches, "lag-ms"),
        fenced: matches.get_flag("fenced"),
        answer: matches.get_one("answer-tokens").copied(),
        list: matches.get_one("list").cloned(),
    }
}

fn service(matches: &ArgMatches) -> ServiceConfig {
    ServiceConfig {
        name: text(matches, "name"),
        entry: text(matches, "entry"),
        version: text(matches, "version"),
        domain: text(matches, "domain"),
        slots: *matches.get_one("slots").expect("it has a default"),
        lag: millis(matches, "lag-ms"),
        list: matches.get_one("list").cloned(),
    }
}

fn text(matches: &ArgMatches, name: &str) -> CompactString {
    matches.get_one::<CompactString>(name).expect("it is required or has a default").clone()
}

fn millis(matches: &ArgMatches, name: &str) -> Duration {
    let millis: f64 = *matches.get_one(name).expect("it has a default");
    Duration::from_secs_f64(millis.max(0.0) / 1e3)
}

fn command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
        .global(true)
        .help("Address to listen on; port 0 selects a free one");
    Command::new("standin")
        .about("Test double of a runner or a platform service, with fault injection")
        .subcommand_required(true)
        .arg(listen)
        .subcommand(runner_command())
        .subcommand(
            Command::new("service").about("A plain service with a ledger").args(instance_args()),
        )
        .subcommand(Command::new("table").about("The platform's table service"))
        .subcommand(Command::new("list").about("The platform's instance list").arg(lag_arg()))
}

fn runner_command() -> Command {
    let fenced = Arg::new("fenced")
        .long("fenced")
        .action(ArgAction::SetTrue)
        .help("Reject orders with an outdated fencing token");
    let answer = Arg::new("answer-tokens")
        .long("answer-tokens")
        .value_name("N")
        .value_parser(value_parser!(u32))
        .help("Tokens of every answer [default: derived from the prompt]");
    Command::new("runner")
        .about("A model engine")
        .args(instance_args())
        .arg(millis_arg("token-ms", "20", "Time per token; 0 generates as fast as possible"))
        .arg(fenced)
        .arg(answer)
}

fn instance_args() -> [Arg; 7] {
    let text = |name, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).value_parser(value_parser!(CompactString));
        arg.default_value(default).help(help)
    };
    [
        text("name", "standin", "Name in the instance list"),
        text("entry", "entry", "Catalogue entry to serve"),
        text("version", "v1", "Version to run"),
        text("domain", "domain", "Failure domain"),
        Arg::new("slots")
            .long("slots")
            .default_value("8")
            .value_parser(value_parser!(u32))
            .help("Maximum concurrent generations; for a service, the number it reports"),
        lag_arg(),
        Arg::new("list")
            .long("list")
            .value_name("URL")
            .value_parser(value_parser!(CompactString))
            .help("Instance list in which to register"),
    ]
}

fn lag_arg() -> Arg {
    millis_arg("lag-ms", "0", "Delay of the reported state")
}

fn millis_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(value_parser!(f64)).help(help)
}
