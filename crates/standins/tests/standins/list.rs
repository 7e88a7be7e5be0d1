//! The instance list over HTTP.

use {
    crate::client::{ANY, get, post},
    bilberryfront_standins::{faults::Faults, list::List, server::Handle},
    bilberryfront_wire::instance::{Instance, InstanceKind, InstanceList, InstanceState},
    http::StatusCode,
    std::time::Duration,
};

async fn upsert(list: &Handle, name: &str) -> StatusCode {
    let instance = Instance {
        name: name.into(),
        kind: InstanceKind::Engine,
        url: "http://127.0.0.1:1".into(),
        domain: "a".into(),
        entry: "model".into(),
        version: "v1".into(),
        state: InstanceState::Live,
        fenced: true,
        peer: None,
    };
    let url = format!("{}/instances/{name}", list.url());
    post(&url, &instance).await.unwrap().status()
}

async fn visible(list: &Handle) -> InstanceList {
    get(&format!("{}/instances", list.url())).await
}

#[tokio::test]
async fn adds_replaces_and_marks_instances() {
    let list = List::start(ANY, Duration::ZERO).await.unwrap();
    assert_eq!(upsert(&list, "a").await, StatusCode::NO_CONTENT);
    assert_eq!(upsert(&list, "b").await, StatusCode::NO_CONTENT);
    assert_eq!(upsert(&list, "a").await, StatusCode::NO_CONTENT);
    let leave = |name| format!("{}/instances/{name}/leave", list.url());
    assert_eq!(post(&leave("b"), &()).await.unwrap().status(), StatusCode::NO_CONTENT);
    assert_eq!(post(&leave("c"), &()).await.unwrap().status(), StatusCode::NOT_FOUND);
    let visible = visible(&list).await;
    assert_eq!(visible.revision, 4);
    let states: Vec<_> = visible.instances.iter().map(|i| (i.name.as_str(), i.state)).collect();
    assert_eq!(states, [("a", InstanceState::Live), ("b", InstanceState::Leaving)]);
}

/// A reader sees the same list while `freeze` is set, and all changes made meanwhile after that.
#[tokio::test]
async fn freeze_hides_changes() {
    let list = List::start(ANY, Duration::ZERO).await.unwrap();
    upsert(&list, "a").await;
    list.faults.set(Faults { freeze: true, ..Faults::default() });
    upsert(&list, "b").await;
    assert_eq!(visible(&list).await.revision, 1);
    list.faults.set(Faults::default());
    assert_eq!(visible(&list).await.revision, 2);
}
