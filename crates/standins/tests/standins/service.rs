//! Ledger and faults of the stand-in service.

use {
    crate::client::{ANY, get, post, post_json},
    bilberryfront_standins::{
        faults::{Faults, Lose},
        server::Handle,
        service::{History, Recorded, Service, ServiceConfig, ServiceLog},
    },
};

async fn start_service() -> Handle {
    Service::start(ANY, ServiceConfig::default()).await.unwrap()
}

async fn executed_calls(service: &Handle) -> usize {
    get::<ServiceLog>(&format!("{}/admin/log", service.url())).await.executed.len()
}

#[tokio::test]
async fn records_calls_and_returns_them_by_path() {
    let service = start_service().await;
    let url = format!("{}/claims/7", service.url());
    assert_eq!(post_json::<Recorded>(&url, &"one").await.number, 1);
    assert_eq!(
        post_json::<Recorded>(&format!("{}/claims/8", service.url()), &"two").await.number,
        2
    );
    let history: History = get(&url).await;
    assert_eq!(history.records.len(), 1);
    assert_eq!(history.records[0].call.body, "\"one\"");
}

/// The connection closes without a response in both cases, so that the caller cannot know whether
/// the call was executed. The log shows it.
#[tokio::test]
async fn closes_before_or_after_executing() {
    let service = start_service().await;
    let url = format!("{}/claims/7", service.url());
    let lose = |effect| {
        let lose = Lose { effect, hang: false, path: "/claims".into(), once: true };
        service.faults.set(Faults { lose: Some(lose), ..Faults::default() });
    };
    lose(false);
    assert!(post(&url, &"one").await.is_none());
    assert_eq!(executed_calls(&service).await, 0);
    lose(true);
    assert!(post(&url, &"one").await.is_none());
    assert_eq!(executed_calls(&service).await, 1);
}
