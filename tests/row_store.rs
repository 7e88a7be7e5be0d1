//! The client of the platform's store, with a stand-in that is restored from a backup.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    bilberryfront_platform::RowStore,
    bilberryfront_relay::store::{Condition, Revision, Store, StoreError, Write},
    bilberryfront_standins::feed_store::FeedStore,
    std::time::Duration,
    tokio::task::LocalSet,
};

const TABLE: &str = "notes";

async fn with_store(test: impl AsyncFnOnce(FeedStore, RowStore)) {
    let store = FeedStore::default();
    let handle = store.start("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = RowStore::new(handle.addr);
    LocalSet::new().run_until(test(store, client)).await;
}

fn put(store: &FeedStore, key: &str, text: &str) {
    store.put(TABLE, key, Some(STANDARD.encode(text)));
}

fn write(condition: Condition) -> Write {
    Write { table: TABLE.into(), key: "a".into(), value: Some("mine".into()), condition }
}

/// Guards against a feed that goes on in a store whose history is another one, whether the store has
/// the number or not.
#[tokio::test]
async fn feed_ends_when_the_store_is_restored() {
    with_store(async |store, client| {
        put(&store, "a", "1");
        let backup = store.back_up();
        put(&store, "a", "2");
        let read = client.read(TABLE).await.unwrap();
        assert_eq!(read.revision, Revision::new(0, 2));
        store.restore(&backup);
        let feed = async || client.feed(TABLE, read.revision, Duration::ZERO).await;
        assert_eq!(feed().await, Err(StoreError::Restored), "the number is not assigned");
        put(&store, "a", "3");
        put(&store, "a", "4");
        assert_eq!(feed().await, Err(StoreError::Restored), "the number is assigned again");
        let read = client.read(TABLE).await.unwrap();
        assert_eq!(read.rows[0].revision, Revision::new(1, 3));
        assert_eq!(client.feed(TABLE, read.revision, Duration::ZERO).await.unwrap().rows, []);
    })
    .await;
}

/// Guards against a long poll that begins before a restoration and returns rows of the restored store
/// as changes.
#[tokio::test]
async fn pending_feed_ends_when_the_store_is_restored() {
    with_store(async |store, client| {
        put(&store, "a", "1");
        let backup = store.back_up();
        let after = client.read(TABLE).await.unwrap().revision;
        let restore = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            store.restore(&backup);
            put(&store, "a", "2");
        };
        let (polled, ()) = tokio::join!(client.feed(TABLE, after, Duration::from_secs(5)), restore);
        assert_eq!(polled, Err(StoreError::Restored));
    })
    .await;
}

/// Guards against overwriting a row that another node wrote, because the restored store has assigned
/// the expected number to that write.
#[tokio::test]
async fn condition_of_an_ended_era_is_not_met() {
    with_store(async |store, client| {
        put(&store, "a", "1");
        let backup = store.back_up();
        put(&store, "a", "2");
        let known = client.read(TABLE).await.unwrap().revision;
        store.restore(&backup);
        put(&store, "a", "theirs");
        let current = client.read(TABLE).await.unwrap().revision;
        assert_eq!(known.number, current.number);
        let lost = client.write(&[write(Condition::At(known))]).await;
        assert_eq!(lost, Err(StoreError::Conflict));
        assert_eq!(store.value(TABLE, "a"), Some(STANDARD.encode("theirs")));
        let written = client.write(&[write(Condition::At(current))]).await;
        assert_eq!(written, Ok(Revision::new(1, 3)));
        assert_eq!(client.write(&[write(Condition::Absent)]).await, Err(StoreError::Conflict));
    })
    .await;
}
