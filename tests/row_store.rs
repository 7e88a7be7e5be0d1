//! The client of the platform's store: with a stand-in that is restored from a backup, and with corrupted responses.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    bilberryfront_platform::RowStore,
    bilberryfront_relay::store::{Condition, Revision, Store, StoreError, Write},
    bilberryfront_standins::feed_store::FeedStore,
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::{LocalSet, spawn_local},
    },
};

const TABLE: &str = "notes";

async fn with_store(test: impl AsyncFnOnce(FeedStore, RowStore)) {
    let store = FeedStore::default();
    let handle = store.start("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = RowStore::new(handle.addr);
    LocalSet::new().run_until(test(store, client)).await;
}

/// Runs a test with a store that sends the same response to each request.
async fn with_response(test: impl AsyncFnOnce(Rc<RefCell<String>>, RowStore)) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = RowStore::new(listener.local_addr().unwrap());
    let response = Rc::<RefCell<String>>::default();
    let sent = response.clone();
    let serve = async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(respond(stream, sent.clone()));
        }
    };
    let local = LocalSet::new();
    local.spawn_local(serve);
    local.run_until(test(response, client)).await;
}

/// Responds to requests that fit into one read.
async fn respond(mut stream: TcpStream, response: Rc<RefCell<String>>) {
    while stream.read(&mut [0; 4_096]).await.is_ok_and(|count| count > 0) {
        let response = response.borrow().clone();
        _ = stream.write_all(response.as_bytes()).await;
    }
}

/// Returns a response with no rows.
fn no_rows(status: &str, field: &str) -> String {
    let body = r#"{"rows":[],"has_more":false,"ver":5,"now_ms":0}"#;
    format!("HTTP/1.1 {status}\r\n{field}content-length: {}\r\n\r\n{body}", body.len())
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

/// Guards against a restoration to an earlier state that did not happen: the name of the header with the number of
/// restorations is corrupted.
#[tokio::test]
async fn a_response_without_an_era_is_lost_once_one_was_stated() {
    with_response(async |response, client| {
        let respond = |status, field| *response.borrow_mut() = no_rows(status, field);
        respond("200 OK", "");
        assert_eq!(client.read(TABLE).await.unwrap().revision, Revision::new(0, 5));
        respond("200 OK", "store-era: 1\r\n");
        let known = client.read(TABLE).await.unwrap().revision;
        assert_eq!(known, Revision::new(1, 5));
        for status in ["410 Gone", "200 OK"] {
            respond(status, "store-eba: 1\r\n");
            let feed = client.feed(TABLE, known, Duration::ZERO).await;
            assert!(matches!(feed, Err(StoreError::Lost(_))), "{feed:?}");
        }
        let read = client.read(TABLE).await;
        assert!(matches!(read, Err(StoreError::Lost(_))), "{read:?}");
        let write = write(Condition::At(Revision::new(0, 5)));
        assert_eq!(client.write(&[write]).await, Err(StoreError::Conflict));
    })
    .await;
}

/// Guards against a rejected write that counts as one that may have been made: a rejection need not be by the store.
#[tokio::test]
async fn a_rejection_needs_no_era() {
    with_response(async |response, client| {
        *response.borrow_mut() = no_rows("200 OK", "store-era: 1\r\n");
        client.read(TABLE).await.unwrap();
        *response.borrow_mut() = no_rows("503 Unavailable", "");
        let written = client.write(&[write(Condition::None)]).await;
        assert!(matches!(written, Err(StoreError::Unavailable(_))), "{written:?}");
    })
    .await;
}

/// Guards against rows, and writes that count as made, of a response whose body may be anything: its head is
/// malformed.
#[tokio::test]
async fn a_response_with_a_malformed_head_is_lost() {
    with_response(async |response, client| {
        let sound = no_rows("200 OK", "");
        *response.borrow_mut() = sound.clone();
        assert_eq!(client.read(TABLE).await.unwrap().rows, []);
        for (from, to) in [
            ("200 OK", "000 OK"),
            ("200 OK", "600 OK"),
            ("content-length: 47", "transfer-encoding: chunkd"),
            ("content-length: 47", "content-length: 47\r\ncontent-length: 47"),
            ("content-length: 47", "content-length: 47\r\ntransfer-encoding: chunked"),
            ("content-length: 47", "content-lengsh: 47"),
            ("content-length: 47", "content-length 47"),
        ] {
            *response.borrow_mut() = sound.replace(from, to);
            assert_ne!(*response.borrow(), sound, "{to}");
            let read = client.read(TABLE).await;
            assert!(matches!(read, Err(StoreError::Lost(_))), "{to}: {read:?}");
            let written = client.write(&[write(Condition::None)]).await;
            assert!(matches!(written, Err(StoreError::Lost(_))), "{to}: {written:?}");
        }
        *response.borrow_mut() = sound;
        assert!(client.read(TABLE).await.is_ok());
    })
    .await;
}
