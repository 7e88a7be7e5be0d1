//! The operators' commands against a node's operators' face, each in its own process.

#[path = "support/data.rs"]
mod data;
#[path = "support/folder.rs"]
mod folder;
#[expect(dead_code, reason = "the tests of the store use the other faults")]
#[path = "support/table.rs"]
mod table;

use {
    bilberryfront::{
        catalogue::store::{CatalogueRevision, Store},
        key::digest,
        operator::{
            Control, OperatorApi,
            key::Keys,
            message::{NodeRow, Nodes},
            router,
        },
    },
    folder::{Outcome, run},
    serde_json::Value,
    std::{
        fs,
        path::PathBuf,
        sync::{Arc, Mutex},
    },
    table::{FakeTable, Fault},
    tokio::{net::TcpListener, runtime::Runtime},
    volo::net::incoming::DefaultIncoming,
    volo_http::server::Server,
};

const KEY: &str = "operators-key";

/// A node that only remembers what it was told.
#[derive(Clone, Default)]
struct FakeNode {
    accepted: Arc<Mutex<Vec<CatalogueRevision>>>,
}

impl Control for FakeNode {
    fn nodes(&self) -> Nodes {
        let node = NodeRow {
            name: "tg-1".into(),
            domain: "east-mids-a".into(),
            url: "http://127.0.0.1:7000".into(),
            state: "ready".into(),
            revision: None,
        };
        Nodes { revision: 3, nodes: vec![node] }
    }

    fn accepted(&self, numbered: CatalogueRevision) {
        self.accepted.lock().unwrap().push(numbered);
    }
}

struct Bench {
    folder: PathBuf,
    url: String,
    table: FakeTable,
    node: FakeNode,
    _runtime: Runtime,
}

impl Bench {
    fn start(test: &str) -> Bench {
        let folder = folder::folder(test);
        for (name, text) in data::data("catalogue") {
            fs::write(folder.join(name), text).unwrap();
        }
        fs::write(folder.join("key"), format!("{KEY}\n")).unwrap();
        let (table, node) = (FakeTable::default(), FakeNode::default());
        let runtime = Runtime::new().unwrap();
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let face = OperatorApi {
            store: Store::new(table.clone()),
            keys: Keys::new(vec![digest("another"), digest(KEY)]),
            control: node.clone(),
        };
        let server = Server::new(router(face));
        runtime.spawn(async { server.run(DefaultIncoming::from(listener)).await.unwrap() });
        Bench { folder, url, table, node, _runtime: runtime }
    }

    fn run(&self, args: &[&str]) -> Outcome {
        let node = ["--node", &self.url, "--key-file", "key"];
        run(&self.folder, &[args, &node].concat())
    }

    fn edit(&self, from: &str, to: &str) {
        let path = self.folder.join("good.jsonc");
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.contains(from));
        fs::write(path, text.replacen(from, to, 1)).unwrap();
    }
}

#[test]
fn a_catalogue_is_compared_applied_and_told() {
    let bench = Bench::start("apply_whole");
    assert_eq!(bench.run(&["catalogue", "diff", "good.jsonc"]).code, Some(1));
    let outcome = bench.run(&["catalogue", "apply", "good.jsonc", "--comment", "first"]);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    assert!(outcome.stdout.ends_with("revision 1 is accepted\n"), "{}", outcome.stdout);
    let accepted = bench.node.accepted.lock().unwrap().clone();
    assert_eq!((accepted.len(), accepted[0].revision), (1, 1));

    let outcome = bench.run(&["catalogue", "diff", "good.jsonc"]);
    assert_eq!((outcome.code, &*outcome.stdout), (Some(0), "no difference from revision 1\n"));
    bench.edit("\"concurrent\": 400", "\"concurrent\": 500");
    let outcome = bench.run(&["catalogue", "diff", "good.jsonc"]);
    assert_eq!(outcome.code, Some(1));
    for part in ["entry verify-llm", "limits.concurrent", "400", "500"] {
        assert!(outcome.stdout.contains(part), "{part}: {}", outcome.stdout);
    }
}

#[test]
fn what_get_shows_can_be_applied_again() {
    let bench = Bench::start("apply_get");
    bench.run(&["catalogue", "apply", "good.jsonc"]);
    let shown = bench.run(&["catalogue", "get"]).stdout;
    assert!(shown.starts_with("// revision 1\n"), "{shown}");
    fs::write(bench.folder.join("shown.jsonc"), shown).unwrap();
    let outcome = bench.run(&["catalogue", "apply", "shown.jsonc"]);
    assert_eq!(outcome.stdout, "revision 1 stays in force: the file says the same\n");
}

#[test]
fn a_dry_run_changes_nothing() {
    let bench = Bench::start("apply_dry");
    let outcome = bench.run(&["catalogue", "apply", "good.jsonc", "--dry-run"]);
    assert_eq!(outcome.code, Some(0));
    assert!(outcome.stdout.ends_with("revision 0 stays in force: this was a dry run\n"));
    assert_eq!(bench.table.commits(), []);
}

#[test]
fn history_and_nodes_are_tables_or_json() {
    let bench = Bench::start("apply_history");
    bench.run(&["catalogue", "apply", "good.jsonc", "--comment", "for the night desk"]);
    let table = bench.run(&["catalogue", "history"]).stdout;
    for part in ["revision", "who", "comment", "for the night desk", "key "] {
        assert!(table.contains(part), "{part}: {table}");
    }
    let json = bench.run(&["catalogue", "history", "--output", "json"]).stdout;
    let past: Value = serde_json::from_str(&json).unwrap();
    assert_eq!(past[0]["comment"], "for the night desk");
    let table = bench.run(&["nodes"]).stdout;
    assert!(table.contains("east-mids-a"), "{table}");
    assert!(table.ends_with("revision 3 is in force at the node that was asked\n"), "{table}");
    let nodes: Value =
        serde_json::from_str(&bench.run(&["nodes", "--output", "json"]).stdout).unwrap();
    assert_eq!(nodes["nodes"][0]["state"], "ready");
}

#[test]
fn json_is_one_document_for_every_command() {
    let bench = Bench::start("apply_json");
    let commands: [&[&str]; 5] = [
        &["catalogue", "diff", "good.jsonc"],
        &["catalogue", "apply", "good.jsonc", "--dry-run"],
        &["catalogue", "apply", "good.jsonc"],
        &["catalogue", "apply", "good.jsonc"],
        &["catalogue", "get"],
    ];
    for command in commands {
        let stdout = bench.run(&[command, &["--output", "json"]].concat()).stdout;
        let document: Value = serde_json::from_str(&stdout).unwrap();
        assert!(document["revision"].is_u64(), "{command:?}: {stdout}");
    }
}

#[test]
fn a_bad_file_is_refused_with_its_line_before_the_node_is_asked() {
    let bench = Bench::start("apply_bad");
    let outcome = bench.run(&["catalogue", "apply", "unknown-account.jsonc"]);
    assert_eq!(outcome.code, Some(1));
    assert!(outcome.stderr.contains("no account is named"), "{}", outcome.stderr);
    assert_eq!(bench.table.commits(), []);
}

#[test]
fn a_wrong_key_is_refused() {
    let bench = Bench::start("apply_key");
    fs::write(bench.folder.join("key"), "guess").unwrap();
    for command in [&["catalogue", "get"][..], &["catalogue", "history"], &["nodes"]] {
        let outcome = bench.run(command);
        assert_eq!(outcome.code, Some(3), "{command:?}");
        assert!(outcome.stderr.contains("Wrong key"), "{}", outcome.stderr);
    }
}

#[test]
fn a_file_made_from_an_older_revision_is_refused() {
    let bench = Bench::start("apply_old");
    bench.run(&["catalogue", "apply", "good.jsonc"]);
    bench.edit("\"concurrent\": 400", "\"concurrent\": 500");
    let outcome = bench.run(&["catalogue", "apply", "good.jsonc", "--expect", "0"]);
    assert_eq!(outcome.code, Some(3));
    assert!(outcome.stderr.contains("revision 1 is in force and not 0"), "{}", outcome.stderr);
    let outcome = bench.run(&["catalogue", "apply", "good.jsonc", "--expect", "1"]);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
}

/// The table service takes the change and its reply is lost. The node settles it by the apply id,
/// so the operator sees an accepted change and not a failure.
#[test]
fn a_lost_reply_of_the_platform_is_no_failure_for_the_operator() {
    let bench = Bench::start("apply_lost");
    bench.table.inject_faults([Fault::LoseReply]);
    let outcome = bench.run(&["catalogue", "apply", "good.jsonc"]);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
}

/// Every reply of the platform is lost for the whole of the first send of the proposal. The node
/// answers that it doesn't know, and the command sends the same proposal again, which settles it.
#[test]
fn an_unknown_outcome_is_settled_by_sending_the_proposal_again() {
    let bench = Bench::start("apply_unknown");
    bench.table.inject_faults([Fault::LoseReply, Fault::Down, Fault::Down, Fault::Down]);
    let outcome = bench.run(&["catalogue", "apply", "good.jsonc"]);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    assert!(outcome.stdout.ends_with("revision 1 is accepted\n"), "{}", outcome.stdout);
}

/// The change takes effect, its reply is lost and the platform goes down. The first send of the
/// proposal is answered as unknown; the next are answered "nothing was done", which is true of them
/// and false of the first. The operator must be told that the outcome is unknown.
#[test]
fn an_outage_after_an_unknown_outcome_leaves_it_unknown() {
    let bench = Bench::start("apply_die");
    bench.table.inject_faults([Fault::CommitThenDown]);
    let outcome = bench.run(&["catalogue", "apply", "good.jsonc"]);
    assert_eq!(outcome.code, Some(4));
    assert!(outcome.stderr.contains("the outcome is unknown"), "{}", outcome.stderr);
    assert!(!outcome.stderr.contains("nothing was done"), "{}", outcome.stderr);
}

#[test]
fn an_outage_of_the_platform_is_told_with_when_to_come_back() {
    let bench = Bench::start("apply_outage");
    bench.table.set_down(true);
    let outcome = bench.run(&["catalogue", "apply", "good.jsonc"]);
    assert_eq!(outcome.code, Some(4));
    assert!(outcome.stderr.contains("try again in 5 s"), "{}", outcome.stderr);
}

#[test]
fn a_node_that_is_not_there_is_told() {
    let folder = folder::folder("apply_absent");
    fs::write(folder.join("key"), KEY).unwrap();
    let args = ["nodes", "--node", "http://127.0.0.1:1", "--key-file", "key"];
    let outcome = run(&folder, &args);
    assert_eq!(outcome.code, Some(4));
    assert!(outcome.stderr.contains("cannot connect to http://127.0.0.1:1"), "{}", outcome.stderr);
}
