//! Tests of the `publish` command and its client against the stand-in of the log service, which
//! injects faults.

use std::net;
use std::path;
use std::process;
use std::time::Duration;

use bytes::Bytes;
use dandelionspool::configs;
use dandelionspool::fold::{follow, id, outcomes, record, rules, submit};
use dandelionspool::logs::{self, Service as _, http};
use dandelionspool::standin::log::{self, faults};
use dandelionspool::version::Version;
use rstest::rstest;
use serde_json::Value;

const EXAMPLE: &str = "examples/configurations/cascadia.json";
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(20);

async fn serve() -> log::Server {
    let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    log::Server::bind(address, log::Options::default()).await.unwrap()
}

fn client(server: &log::Server) -> http::Client {
    let address = server.address();
    let settings = configs::log::Log { address, ..configs::log::Log::default() };
    http::Client::new(&settings, std::sync::Arc::default())
}

fn example() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join(EXAMPLE)
}

fn publish(base: u64, id: u8) -> record::Publish {
    let body = Bytes::from(std::fs::read(example()).unwrap());
    let id = id::PublishId::new([id; 16]);
    record::Publish { format: 1, base: Version::new(base), id, body }
}

async fn submit(
    server: &log::Server,
    publish: record::Publish,
) -> Result<submit::Answer, submit::Error<http::Error>> {
    let seed = u64::from(publish.id.to_string().as_bytes()[0]);
    submit::Submitter::new(client(server), rules::Builtin, SUBMIT_TIMEOUT, seed)
        .submit(publish)
        .await
}

async fn records(server: &log::Server) -> Vec<logs::Record> {
    let batch = client(server).read(logs::streams::CONFIG, 0, 1000, Duration::ZERO).await;
    batch.unwrap().records
}

async fn current_version(server: &log::Server) -> Version {
    let mut follower = follow::Follower::new(client(server), rules::Builtin);
    while !follower.caught_up() {
        follower.step(Duration::ZERO).await.unwrap();
    }
    follower.fold().version()
}

/// Runs the command and returns its exit code, its JSON output and its standard error.
async fn run(server: net::SocketAddr, args: &[&str], file: path::PathBuf) -> (i32, Value, String) {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_dandelionspool"));
    command.args(["publish", "--json", "--log", &server.to_string()]).args(args).arg(file);
    let output = tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap();
    let printed = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
    let errors = String::from_utf8(output.stderr).unwrap();
    (output.status.code().unwrap(), printed, errors)
}

#[tokio::test]
async fn a_lost_answer_does_not_publish_twice() {
    let server = serve().await;
    server.set_faults(faults::Faults { lose_next: 1, ..faults::Faults::default() });
    let answer = submit(&server, publish(0, 1)).await.unwrap();
    assert!(
        matches!(answer.outcome, outcomes::Outcome::Accepted(s) if s.version == Version::new(1))
    );
    assert!(!answer.repeated);
    assert_eq!(records(&server).await.len(), 1);
}

#[tokio::test]
async fn publishing_again_has_no_effect_and_repeats_the_first_verdict() {
    let server = serve().await;
    let first = submit(&server, publish(0, 1)).await.unwrap();
    let second = submit(&server, publish(1, 2)).await.unwrap();
    assert!(matches!(second.outcome, outcomes::Outcome::Accepted(_)));
    let again = submit(&server, publish(0, 1)).await.unwrap();
    assert_eq!(again, submit::Answer { repeated: true, ..first });
    assert_eq!(records(&server).await.len(), 2);
}

#[tokio::test]
async fn a_record_that_arrives_twice_has_one_effect() {
    let server = serve().await;
    let body = record::encode(&record::Record::Publish(publish(0, 1))).unwrap();
    for _ in 0..2 {
        client(&server).append(logs::streams::CONFIG, body.clone()).await.unwrap();
    }
    assert_eq!(current_version(&server).await, Version::new(1));
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[tokio::test]
async fn one_of_several_concurrent_publishes_wins_and_the_others_get_its_version(
    #[case] seed: u64,
) {
    let server = serve().await;
    let lossy = faults::Faults { lose_share: 0.5, seed, ..faults::Faults::default() };
    server.set_faults(lossy);
    let mut base = 0;
    for round in 0..5u8 {
        let ids = [1, 2, 3].map(|operator| 10 * round + operator);
        let [a, b, c] = ids.map(|id| submit(&server, publish(base, id)));
        let (a, b, c) = tokio::join!(a, b, c);
        let current = current_version(&server).await;
        let outcomes = [a, b, c].map(|answer| answer.unwrap().outcome);
        let won = |o: &outcomes::Outcome| matches!(o, outcomes::Outcome::Accepted(s) if s.version == current);
        assert_eq!(outcomes.iter().filter(|o| won(o)).count(), 1, "{outcomes:?}");
        let lost = outcomes::Outcome::Conflict { current };
        assert_eq!(outcomes.iter().filter(|o| **o == lost).count(), 2, "{outcomes:?}");
        base = current.number();
    }
}

#[tokio::test]
async fn the_command_publishes_once_and_prints_the_version() {
    let server = serve().await;
    let (code, printed, errors) = run(server.address(), &["--base", "0"], example()).await;
    assert_eq!((code, &printed["version"], &printed["repeated"]), (0, &1.into(), &false.into()));
    assert_eq!(errors, "");
    let (code, printed, _) = run(server.address(), &["--base", "0"], example()).await;
    assert_eq!((code, &printed["version"], &printed["repeated"]), (0, &1.into(), &true.into()));
    assert_eq!(records(&server).await.len(), 1);
}

#[tokio::test]
async fn the_command_prints_the_current_version_in_a_conflict() {
    let server = serve().await;
    submit(&server, publish(0, 1)).await.unwrap();
    let (code, printed, errors) = run(server.address(), &["--base", "7"], example()).await;
    assert_eq!((code, &printed["verdict"]), (3, &"conflict".into()));
    assert_eq!(printed["current"], 1);
    assert!(errors.contains("the current version is 1"), "{errors}");
    assert_eq!(records(&server).await.len(), 1);
}

#[rstest]
#[case::refuse(faults::Outage::Refuse)]
#[case::close(faults::Outage::Close)]
#[case::hang(faults::Outage::Hang)]
#[tokio::test]
async fn an_outage_has_exit_code_4_and_reports_that_nothing_was_published(
    #[case] outage: faults::Outage,
) {
    let server = serve().await;
    server.set_faults(faults::Faults { outage, ..faults::Faults::default() });
    let args = ["--base", "0", "--wait-ms", "400"];
    let (code, printed, errors) = run(server.address(), &args, example()).await;
    assert_eq!((code, &printed["verdict"]), (4, &"unreachable".into()));
    assert_eq!(printed["uncertain"], false);
    assert!(errors.contains("was not published"), "{errors}");
    server.set_faults(faults::Faults::default());
    assert!(records(&server).await.is_empty());
}

/// An empty log that becomes unreachable once an append was sent.
#[derive(Clone, Default)]
struct Vanishing(std::sync::Arc<std::sync::atomic::AtomicBool>);

impl logs::Service for Vanishing {
    type Error = http::Error;

    async fn append(&self, _: &str, _: Bytes) -> Result<logs::Offset, http::Error> {
        let sent_before = self.0.swap(true, std::sync::atomic::Ordering::Relaxed);
        Err(if sent_before { http::Error::ConnectTimeout } else { http::Error::AnswerTimeout })
    }

    async fn read(
        &self,
        _: &str,
        _: logs::Offset,
        _: u32,
        _: Duration,
    ) -> Result<logs::Batch, http::Error> {
        let sent = self.0.load(std::sync::atomic::Ordering::Relaxed);
        if sent { Err(http::Error::ConnectTimeout) } else { Ok(logs::Batch::default()) }
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_after_a_lost_answer_is_reported_as_uncertain() {
    let submitter = submit::Submitter::new(Vanishing::default(), rules::Builtin, SUBMIT_TIMEOUT, 1);
    let error = submitter.submit(publish(0, 1)).await.unwrap_err();
    let uncertain = matches!(error, submit::Error::Unreachable { uncertain: true, .. });
    assert!(uncertain, "{error:?}");
}

#[tokio::test]
async fn an_invalid_file_has_exit_code_1_and_is_not_sent() {
    let server = serve().await;
    let file = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("Cargo.toml");
    let (code, printed, errors) = run(server.address(), &["--base", "0"], file).await;
    assert_eq!((code, &printed["verdict"]), (1, &"invalid".into()));
    assert!(errors.contains("not JSON"), "{errors}");
    assert!(records(&server).await.is_empty());
}

#[tokio::test]
async fn a_log_with_a_newer_format_has_exit_code_3() {
    let server = serve().await;
    let newer = Bytes::from_static(b"dspc\x63\x00whatever");
    client(&server).append(logs::streams::CONFIG, newer).await.unwrap();
    let args = ["--base", "0", "--wait-ms", "300"];
    let (code, printed, _) = run(server.address(), &args, example()).await;
    assert_eq!((code, &printed["verdict"]), (3, &"unknown".into()));
}
