//! Steps of the demo.

use {
    ::http::Method,
    bilberryfront_harness::{
        caller::{Caller, Received},
        fleet::{CALLER_KEY, Fleet, OPERATOR_KEY, Programs, catalog},
        http,
    },
    bilberryfront_standins::{
        service::ServiceLog,
        text::{Answer, Sampling},
    },
    bilberryfront_wire::{
        completion::{Addresses, CompletionRequest},
        runner::LoadReport,
    },
    compact_str::CompactString,
    std::{io, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Number of tokens in the demo's answer.
const TOKENS: u32 = 400;
/// Tokens after which the runner is killed.
const KILL_AT: u32 = 100;
/// Engine entry of the demo.
const ENGINE: &str = "verify-llm";
/// Service entry of the demo.
const SERVICE: &str = "desk-app";

/// Runs all steps and returns whether every check passed.
pub(crate) async fn run(programs: Programs, prompt: &str) -> io::Result<bool> {
    let mut checks = Checks { held: true };
    let mut fleet = start(programs).await?;
    let caller = Caller::new(CALLER_KEY);
    let addresses = wait_for_both_nodes(&caller, &fleet.urls()[0]).await?;
    println!(
        "addresses: {} nodes, valid for {} s",
        addresses.addresses.len(),
        addresses.ttl_seconds
    );
    checks.check("both nodes are in the address response", addresses.addresses.len() == 2);
    generation(&mut fleet, &caller, prompt, &mut checks).await?;
    double_post(&fleet, &caller, &mut checks).await?;
    Ok(checks.held)
}

/// Starts the deployment, prints its URLs, and keeps it running until Ctrl-C.
pub(crate) async fn stay(programs: Programs) -> io::Result<bool> {
    let fleet = start(programs).await?;
    for node in &fleet.nodes {
        println!("{}: callers {}, operators {}", node.server.name, node.server.url, node.operators);
    }
    println!("caller key {CALLER_KEY}, operator key {OPERATOR_KEY}");
    println!("entries {ENGINE} and {SERVICE}; stop with Ctrl-C");
    tokio::signal::ctrl_c().await?;
    Ok(true)
}

async fn start(programs: Programs) -> io::Result<Fleet> {
    let mut fleet = Fleet::new(programs)?;
    println!("table service at {}, instance list at {}", fleet.table.url, fleet.list.url);
    let tokens = TOKENS.to_string();
    for (name, domain) in [("runner-a", "domain-a"), ("runner-b", "domain-b")] {
        let args = ["--entry", ENGINE, "--domain", domain, "--answer-tokens", &tokens];
        fleet.start("runner", name, &[&args[..], &["--token-ms", "5"]].concat())?;
    }
    fleet.start("service", "app-a", &["--entry", SERVICE, "--domain", "domain-a"])?;
    fleet.apply(1, &catalog(ENGINE, SERVICE)).await?;
    fleet.start_node("node-a", "domain-a").await?;
    fleet.start_node("node-b", "domain-b").await?;
    fleet.ready().await?;
    println!("2 runners, 1 plain service and 2 nodes are ready");
    Ok(fleet)
}

/// Polls a node's addresses until it knows both nodes: nodes read the instance list every second.
async fn wait_for_both_nodes(caller: &Caller, node: &str) -> io::Result<Addresses> {
    /// Maximum number of polls.
    const ATTEMPTS: u32 = 50;
    let mut addresses = caller.addresses(node).await?;
    for _ in 0..ATTEMPTS {
        if addresses.addresses.len() == 2 {
            break;
        }
        sleep(Duration::from_millis(100)).await;
        addresses = caller.addresses(node).await?;
    }
    Ok(addresses)
}

/// Streams an answer and kills its runner in the middle.
async fn generation(
    fleet: &mut Fleet,
    caller: &Caller,
    prompt: &str,
    checks: &mut Checks,
) -> io::Result<()> {
    let request = CompletionRequest {
        model: ENGINE.into(),
        prompt: prompt.to_owned(),
        max_tokens: None,
        stream: true,
        resume: None,
    };
    let nodes = fleet.urls();
    let (progress, mut seen) = watch::channel(0);
    let stream = caller.stream(&nodes, &request, |got: &Received| {
        progress.send_replace(got.events);
    });
    let kill = async {
        _ = seen.wait_for(|events| *events >= KILL_AT).await;
        kill_busy(fleet).await
    };
    let (got, killed) = tokio::join!(stream, kill);
    let (got, killed) = (got?, killed?);
    println!("killed {killed} after {KILL_AT} tokens");
    println!("answer: {} tokens, first after {:.0?}", got.events, got.first);
    println!("longest gap between two tokens, including the kill: {:.0?}", got.gap);
    let expected = Answer::new("v1", prompt, Sampling::Same, Some(TOKENS)).text(TOKENS);
    checks.check("every token was received once and in order", got.text == expected);
    checks.check("the answer is complete", got.is_whole() && got.tokens == TOKENS);
    checks.check("the caller never had to resume", got.resumes == 0);
    Ok(())
}

/// Posts one correction twice with one key, at two nodes at the same time.
async fn double_post(fleet: &Fleet, caller: &Caller, checks: &mut Checks) -> io::Result<()> {
    let path = format!("{SERVICE}/corrections");
    let body = br#"{"claim": 7, "correction": "the bridge opened in 1932"}"#;
    let nodes = fleet.urls();
    let post =
        |node| caller.service(node, Method::POST, &path, Some("correction-7"), body.to_vec());
    let (one, two) = tokio::join!(post(&nodes[0]), post(&nodes[1]));
    let (one, two) = (one?, two?);
    let (first, second) = (String::from_utf8_lossy(&one.body), String::from_utf8_lossy(&two.body));
    println!("one correction posted at two nodes: {} {first}, {} {second}", one.status, two.status);
    let url = format!("{}/admin/log", fleet.runners[2].url);
    let log: ServiceLog = http::get(fleet.client(), &url).await?;
    println!("the service executed {} call(s)", log.executed.len());
    checks.check("the correction was executed once", log.executed.len() == 1);
    checks.check("both posts got the same answer", one.body == two.body);
    Ok(())
}

/// Kills the runner that is generating, and returns its name.
async fn kill_busy(fleet: &mut Fleet) -> io::Result<CompactString> {
    let client = fleet.client().clone();
    for runner in &mut fleet.runners {
        let load: LoadReport = http::get(&client, &format!("{}/load", runner.url)).await?;
        if load.running > 0 {
            runner.process.kill();
            return Ok(runner.name.clone());
        }
    }
    Err(io::Error::other("no runner is generating"))
}

/// Prints the result of each check and records whether all passed.
struct Checks {
    held: bool,
}

impl Checks {
    fn check(&mut self, what: &str, held: bool) {
        println!("  [{}] {what}", if held { "ok" } else { "FAILED" });
        self.held &= held;
    }
}
