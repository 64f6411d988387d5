//! The log client against the stand-in, over loopback, with faults.

use std::net;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dandelionspool::configs;
use dandelionspool::logs::{self, Failure as _, Service as _, http};
use dandelionspool::standin::log::{self, faults, store};
use dandelionspool::traffic;
use rstest::rstest;

const STREAM: &str = "config";
const NO_WAIT: Duration = Duration::ZERO;

async fn serve(options: log::Options) -> log::Server {
    let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    log::Server::bind(address, options).await.unwrap()
}

fn client(address: net::SocketAddr, append_ms: u64) -> (http::Client, Arc<traffic::Traffic>) {
    let settings = configs::log::Log { address, append_ms, ..configs::log::Log::default() };
    let traffic = Arc::new(traffic::Traffic::default());
    (http::Client::new(&settings, Arc::clone(&traffic)), traffic)
}

async fn read_all(client: &http::Client) -> logs::Batch {
    client.read(STREAM, 0, 1000, NO_WAIT).await.unwrap()
}

fn bodies(batch: &logs::Batch) -> Vec<(u64, Bytes)> {
    batch.records.iter().map(|r| (r.offset, r.body.clone())).collect()
}

#[tokio::test]
async fn appended_records_are_read_in_order_and_counted() {
    let server = serve(log::Options::default()).await;
    let (client, traffic) = client(server.address(), 5000);
    assert_eq!(client.append(STREAM, Bytes::from_static(b"one")).await.unwrap(), 0);
    assert_eq!(client.append(STREAM, Bytes::from_static(b"")).await.unwrap(), 1);
    let batch = read_all(&client).await;
    assert_eq!((batch.first, batch.next), (0, 2));
    assert_eq!(bodies(&batch), [(0, Bytes::from_static(b"one")), (1, Bytes::new())]);
    let counts = traffic.of(traffic::Purpose::Log);
    assert_eq!(counts.messages.load(std::sync::atomic::Ordering::Relaxed), 3);
    assert!(counts.sent.load(std::sync::atomic::Ordering::Relaxed) > 3);
    assert!(counts.received.load(std::sync::atomic::Ordering::Relaxed) > 3 + 20);
}

#[tokio::test]
async fn a_waiting_read_gets_the_next_record() {
    let server = serve(log::Options::default()).await;
    let (client, _) = client(server.address(), 5000);
    let reader = client.clone();
    let waiting =
        tokio::spawn(async move { reader.read(STREAM, 0, 10, Duration::from_secs(20)).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    client.append(STREAM, Bytes::from_static(b"late")).await.unwrap();
    let batch = waiting.await.unwrap().unwrap();
    assert_eq!(bodies(&batch), [(0, Bytes::from_static(b"late"))]);
}

#[tokio::test]
async fn records_expire_by_count_and_on_request() {
    let age = Duration::from_secs(3600);
    let retention = store::Retention { age, count: 3 };
    let server = serve(log::Options { retention, ..log::Options::default() }).await;
    let (client, _) = client(server.address(), 5000);
    for _ in 0..5 {
        client.append(STREAM, Bytes::from_static(b"x")).await.unwrap();
    }
    let batch = read_all(&client).await;
    assert_eq!((batch.first, batch.next, batch.records.len()), (2, 5, 3));
    server.set_faults(faults::Faults { keep_last: Some(1), ..faults::Faults::default() });
    let batch = read_all(&client).await;
    assert_eq!((batch.first, batch.next, batch.records.len()), (4, 5, 1));
}

#[rstest]
#[case::refuse(faults::Outage::Refuse, false)]
#[case::close(faults::Outage::Close, true)]
#[case::hang(faults::Outage::Hang, true)]
#[tokio::test]
async fn an_outage_is_an_error_that_says_whether_it_is_certain(
    #[case] outage: faults::Outage,
    #[case] uncertain: bool,
) {
    let server = serve(log::Options::default()).await;
    let (client, _) = client(server.address(), 200);
    server.set_faults(faults::Faults { outage, ..faults::Faults::default() });
    let error = client.append(STREAM, Bytes::from_static(b"x")).await.unwrap_err();
    assert_eq!(error.uncertain(), uncertain, "{error:?}");
    server.set_faults(faults::Faults::default());
    assert_eq!(client.append(STREAM, Bytes::from_static(b"x")).await.unwrap(), 0);
}

#[tokio::test]
async fn a_lost_answer_is_uncertain_and_its_record_is_there() {
    let server = serve(log::Options::default()).await;
    let (client, _) = client(server.address(), 5000);
    server.set_faults(faults::Faults { lose_next: 1, ..faults::Faults::default() });
    let error = client.append(STREAM, Bytes::from_static(b"x")).await.unwrap_err();
    assert!(error.uncertain(), "{error:?}");
    assert_eq!(client.append(STREAM, Bytes::from_static(b"y")).await.unwrap(), 1);
    assert_eq!(read_all(&client).await.records.len(), 2);
}

#[tokio::test]
async fn appends_above_the_rate_are_refused_for_certain() {
    let server = serve(log::Options { rate: 2, ..log::Options::default() }).await;
    let (client, _) = client(server.address(), 5000);
    let mut refused = 0;
    let mut appended = 0;
    for _ in 0..10 {
        match client.append(STREAM, Bytes::from_static(b"x")).await {
            Ok(_) => appended += 1,
            Err(error) => {
                assert!(matches!(error, http::Error::Busy { retry_after: Some(_) }), "{error:?}");
                assert!(!error.uncertain());
                refused += 1;
            }
        }
    }
    assert!(refused > 0);
    assert_eq!(read_all(&client).await.records.len(), appended);
}

#[tokio::test]
async fn an_address_nobody_listens_on_is_certain() {
    let server = serve(log::Options::default()).await;
    let (client, _) = client(server.address(), 5000);
    drop(server);
    tokio::time::sleep(Duration::from_millis(20)).await;
    let error = client.append(STREAM, Bytes::from_static(b"x")).await.unwrap_err();
    assert!(matches!(error, http::Error::Connect(_)), "{error:?}");
    assert!(!error.uncertain());
}
