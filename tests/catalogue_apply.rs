//! The operator commands as processes, against the operator API of a node.

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
    bilberryfront_decide::id::Revision,
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

/// A node that only records the accepted revisions.
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

    fn revision(&self) -> Revision {
        0
    }

    fn accepted(&self, numbered: CatalogueRevision) {
        self.accepted.lock().unwrap().push(numbered);
    }
}

struct Fixture {
    folder: PathBuf,
    url: String,
    table: FakeTable,
    node: FakeNode,
    _runtime: Runtime,
}

impl Fixture {
    fn start(test: &str) -> Fixture {
        let folder = folder::folder(test);
        for (name, text) in data::data("catalogue") {
            fs::write(folder.join(name), text).unwrap();
        }
        fs::write(folder.join("key"), format!("{KEY}\n")).unwrap();
        let (table, node) = (FakeTable::default(), FakeNode::default());
        let runtime = Runtime::new().unwrap();
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let api = OperatorApi {
            store: Store::new(table.clone()),
            keys: Keys::new(vec![digest("another"), digest(KEY)]),
            control: node.clone(),
        };
        let server = Server::new(router(api));
        runtime.spawn(async { server.run(DefaultIncoming::from(listener)).await.unwrap() });
        Fixture { folder, url, table, node, _runtime: runtime }
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
fn a_catalogue_is_compared_and_applied() {
    let fixture = Fixture::start("apply_whole");
    assert_eq!(fixture.run(&["catalogue", "diff", "good.jsonc"]).code, Some(1));
    let outcome = fixture.run(&["catalogue", "apply", "good.jsonc", "--comment", "first"]);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    assert!(outcome.stdout.ends_with("revision 1 is accepted\n"), "{}", outcome.stdout);
    let accepted = fixture.node.accepted.lock().unwrap().clone();
    assert_eq!((accepted.len(), accepted[0].revision), (1, 1));

    let outcome = fixture.run(&["catalogue", "diff", "good.jsonc"]);
    assert_eq!((outcome.code, &*outcome.stdout), (Some(0), "no difference from revision 1\n"));
    fixture.edit("\"concurrent\": 400", "\"concurrent\": 500");
    let outcome = fixture.run(&["catalogue", "diff", "good.jsonc"]);
    assert_eq!(outcome.code, Some(1));
    for part in ["entry verify-llm", "limits.concurrent", "400", "500"] {
        assert!(outcome.stdout.contains(part), "{part}: {}", outcome.stdout);
    }
}

#[test]
fn the_output_of_get_can_be_applied() {
    let fixture = Fixture::start("apply_get");
    fixture.run(&["catalogue", "apply", "good.jsonc"]);
    let shown = fixture.run(&["catalogue", "get"]).stdout;
    assert!(shown.starts_with("// revision 1\n"), "{shown}");
    fs::write(fixture.folder.join("shown.jsonc"), shown).unwrap();
    let outcome = fixture.run(&["catalogue", "apply", "shown.jsonc"]);
    assert_eq!(outcome.stdout, "revision 1 stays in force: the file says the same\n");
}

#[test]
fn a_dry_run_changes_nothing() {
    let fixture = Fixture::start("apply_dry");
    let outcome = fixture.run(&["catalogue", "apply", "good.jsonc", "--dry-run"]);
    assert_eq!(outcome.code, Some(0));
    assert!(outcome.stdout.ends_with("revision 0 stays in force: this was a dry run\n"));
    assert_eq!(fixture.table.commits(), []);
}

#[test]
fn history_and_nodes_are_tables_or_json() {
    let fixture = Fixture::start("apply_history");
    fixture.run(&["catalogue", "apply", "good.jsonc", "--comment", "for the night desk"]);
    let table = fixture.run(&["catalogue", "history"]).stdout;
    for part in ["revision", "who", "comment", "for the night desk", "key "] {
        assert!(table.contains(part), "{part}: {table}");
    }
    let json = fixture.run(&["catalogue", "history", "--output", "json"]).stdout;
    let past: Value = serde_json::from_str(&json).unwrap();
    assert_eq!(past[0]["comment"], "for the night desk");
    let table = fixture.run(&["nodes"]).stdout;
    assert!(table.contains("east-mids-a"), "{table}");
    assert!(table.ends_with("revision 3 is in force at the node that was asked\n"), "{table}");
    let nodes: Value =
        serde_json::from_str(&fixture.run(&["nodes", "--output", "json"]).stdout).unwrap();
    assert_eq!(nodes["nodes"][0]["state"], "ready");
}

#[test]
fn json_is_one_document_for_every_command() {
    let fixture = Fixture::start("apply_json");
    let commands: [&[&str]; 5] = [
        &["catalogue", "diff", "good.jsonc"],
        &["catalogue", "apply", "good.jsonc", "--dry-run"],
        &["catalogue", "apply", "good.jsonc"],
        &["catalogue", "apply", "good.jsonc"],
        &["catalogue", "get"],
    ];
    for command in commands {
        let stdout = fixture.run(&[command, &["--output", "json"]].concat()).stdout;
        let document: Value = serde_json::from_str(&stdout).unwrap();
        assert!(document["revision"].is_u64(), "{command:?}: {stdout}");
    }
}

#[test]
fn an_invalid_file_is_rejected_before_a_request_is_sent() {
    let fixture = Fixture::start("apply_bad");
    let outcome = fixture.run(&["catalogue", "apply", "unknown-account.jsonc"]);
    assert_eq!(outcome.code, Some(1));
    assert!(outcome.stderr.contains("no account is named"), "{}", outcome.stderr);
    assert_eq!(fixture.table.commits(), []);
}

#[test]
fn a_wrong_key_is_rejected() {
    let fixture = Fixture::start("apply_key");
    fs::write(fixture.folder.join("key"), "guess").unwrap();
    for command in [&["catalogue", "get"][..], &["catalogue", "history"], &["nodes"]] {
        let outcome = fixture.run(command);
        assert_eq!(outcome.code, Some(3), "{command:?}");
        assert!(outcome.stderr.contains("Wrong key"), "{}", outcome.stderr);
    }
}

#[test]
fn a_file_based_on_an_older_revision_is_rejected() {
    let fixture = Fixture::start("apply_old");
    fixture.run(&["catalogue", "apply", "good.jsonc"]);
    fixture.edit("\"concurrent\": 400", "\"concurrent\": 500");
    let outcome = fixture.run(&["catalogue", "apply", "good.jsonc", "--expect", "0"]);
    assert_eq!(outcome.code, Some(3));
    assert!(outcome.stderr.contains("revision 1 is in force and not 0"), "{}", outcome.stderr);
    let outcome = fixture.run(&["catalogue", "apply", "good.jsonc", "--expect", "1"]);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
}

/// Guards against a failure that is reported although the change took effect: the reply of the
/// table service is lost, and the node finds the apply id in the log.
#[test]
fn a_lost_reply_of_the_platform_is_not_reported_as_a_failure() {
    let fixture = Fixture::start("apply_lost");
    fixture.table.inject_faults([Fault::LoseReply]);
    let outcome = fixture.run(&["catalogue", "apply", "good.jsonc"]);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
}

/// Guards against an outcome that stays unknown: all replies of the platform are lost during the
/// first send of the proposal, the node responds that the outcome is unknown, and the command must
/// send the same proposal again.
#[test]
fn an_unknown_outcome_is_resolved_by_a_retry() {
    let fixture = Fixture::start("apply_unknown");
    fixture.table.inject_faults([Fault::LoseReply, Fault::Down, Fault::Down, Fault::Down]);
    let outcome = fixture.run(&["catalogue", "apply", "good.jsonc"]);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    assert!(outcome.stdout.ends_with("revision 1 is accepted\n"), "{}", outcome.stdout);
}

/// Guards against a wrong "nothing was done". The change takes effect, its reply is lost and the
/// platform goes down: the first send gets "unknown", the following ones get "nothing was done",
/// which is true only of these. The command must report the outcome as unknown.
#[test]
fn an_outage_after_an_unknown_outcome_keeps_it_unknown() {
    let fixture = Fixture::start("apply_die");
    fixture.table.inject_faults([Fault::CommitThenDown]);
    let outcome = fixture.run(&["catalogue", "apply", "good.jsonc"]);
    assert_eq!(outcome.code, Some(4));
    assert!(outcome.stderr.contains("the outcome is unknown"), "{}", outcome.stderr);
    assert!(!outcome.stderr.contains("nothing was done"), "{}", outcome.stderr);
}

#[test]
fn an_outage_of_the_platform_is_reported_with_a_retry_time() {
    let fixture = Fixture::start("apply_outage");
    fixture.table.set_down(true);
    let outcome = fixture.run(&["catalogue", "apply", "good.jsonc"]);
    assert_eq!(outcome.code, Some(4));
    assert!(outcome.stderr.contains("try again in 5 s"), "{}", outcome.stderr);
}

#[test]
fn an_unreachable_node_is_reported() {
    let folder = folder::folder("apply_absent");
    fs::write(folder.join("key"), KEY).unwrap();
    let args = ["nodes", "--node", "http://127.0.0.1:1", "--key-file", "key"];
    let outcome = run(&folder, &args);
    assert_eq!(outcome.code, Some(4));
    assert!(outcome.stderr.contains("cannot connect to http://127.0.0.1:1"), "{}", outcome.stderr);
}
