//! End-to-end tests with separate processes: an operator publishes, nodes and upstreams run, and a
//! caller receives the complete answer through a node on another host than the upstream's.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::time;

use bytes::Bytes;
use dandelionspool::bench::fleet;
use dandelionspool::host;
use dandelionspool::proxy::headers;
use dandelionspool::standin::http;
use dandelionspool::standin::upstream::answer;
use http_body_util::Full;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Timeout of a request.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Time after which a test that waits for a condition fails.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

fn programs() -> fleet::Programs {
    fleet::Programs {
        node: path::PathBuf::from(env!("CARGO_BIN_EXE_dandelionspool")),
        bench: path::PathBuf::from(env!("CARGO_BIN_EXE_dandelionspool-bench")),
    }
}

fn configuration() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/configurations/cascadia.json")
}

/// Starts a fleet with two upstreams of each service and a host without an upstream.
async fn start() -> fleet::Fleet {
    let group = |service| fleet::Group::new(service, 2).mean_ms(2.0).grace_ms(50);
    let plan = fleet::Plan::new(programs())
        .zones(2)
        .group(group("guest-shop"))
        .group(group("couple-desk"))
        .hosts(1)
        .configuration(configuration());
    fleet::Fleet::start(plan).await.unwrap()
}

/// Caller address of the host without an upstream.
fn entry(fleet: &fleet::Fleet) -> net::SocketAddr {
    fleet.hosts().last().unwrap().id.call_addr()
}

async fn post(
    to: net::SocketAddr,
    path: &str,
    key: &str,
    body: &'static [u8],
) -> ::http::Response<Bytes> {
    let request = ::http::Request::post(path)
        .header(::http::header::HOST, "gifts.example")
        .header(headers::IDEMPOTENCY_KEY, key)
        .body(Full::new(Bytes::from_static(body)))
        .unwrap();
    http::send(to, request, REQUEST_TIMEOUT).await.unwrap()
}

fn header<'a>(answer: &'a ::http::Response<Bytes>, name: &str) -> &'a str {
    answer.headers().get(name).map(|v| v.to_str().unwrap()).unwrap_or_default()
}

/// Requests `path` until it is served, since nodes need some time to learn of the upstreams.
async fn until_served(to: net::SocketAddr, path: &str) -> ::http::Response<Bytes> {
    let deadline = time::Instant::now() + TIMEOUT;
    loop {
        let answer = http::get(to, path, REQUEST_TIMEOUT).await.unwrap();
        if answer.status() == ::http::StatusCode::OK {
            return answer;
        }
        assert_eq!(header(&answer, headers::OUTCOME), headers::NOT_RUN);
        assert!(time::Instant::now() < deadline, "{path} is not served: {answer:?}");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Number of calls that all upstreams have started.
async fn starts(fleet: &fleet::Fleet) -> u64 {
    let mut starts = 0;
    for index in 0..4 {
        starts += fleet.record(index).await.unwrap().starts;
    }
    starts
}

/// Line `index` of the output of a command; -1 is the last line.
fn line(published: &fleet::Published, index: isize) -> &str {
    let lines: Vec<_> = published.stdout.lines().collect();
    lines[index.rem_euclid(lines.len() as isize) as usize]
}

/// Waits until all nodes run `version`.
async fn until_all_run(fleet: &fleet::Fleet, version: u64) {
    let deadline = time::Instant::now() + TIMEOUT;
    for index in 0..fleet.hosts().len() {
        while fleet.status(index).await.unwrap()["version"] != version {
            assert!(time::Instant::now() < deadline, "host {index} does not run version {version}");
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn a_caller_gets_the_whole_answer_through_another_node() {
    let fleet = start().await;
    let answer = until_served(entry(&fleet), "/lists/7").await;
    assert_eq!(header(&answer, headers::OUTCOME), headers::RAN);
    let id = header(&answer, headers::REQUEST_ID);
    answer::check(answer.body(), id, b"").unwrap();
    let mut runs = 0;
    for index in 0..2 {
        let record = fleet.record(index).await.unwrap();
        runs += record.runs.get(id).map_or(0, |run| run.starts);
    }
    assert_eq!(runs, 1);
}

#[tokio::test]
async fn a_non_idempotent_call_with_a_key_runs_once_however_often_it_is_sent() {
    let fleet = start().await;
    until_served(entry(&fleet), "/lists/7").await;
    let mut statuses = Vec::new();
    for _ in 0..5 {
        let answer = post(entry(&fleet), "/purchases", "toaster-1", b"a toaster").await;
        statuses.push((answer.status().as_u16(), header(&answer, headers::OUTCOME).to_owned()));
    }
    assert_eq!(statuses, vec![(200, headers::RAN.to_owned()); 5]);
    let mut keys = 0;
    for index in 0..2 {
        keys += fleet.record(index).await.unwrap().keys.get("toaster-1").copied().unwrap_or(0);
    }
    assert_eq!(keys, 1);
}

#[tokio::test]
async fn a_new_version_is_in_force_on_every_node() {
    let fleet = start().await;
    until_all_run(&fleet, 1).await;
    let file = fleet.dir().join("next.json");
    let text = fs::read_to_string(configuration()).unwrap();
    fs::write(&file, text.replace("\"/lists\"", "\"/registries\"")).unwrap();
    let node = fleet.hosts()[0].id.admin_addr().to_string();
    let published = fleet.publish(&file, 1, &["--json", "--follow", &node]).await.unwrap();
    assert_eq!(published.code, 0, "{published:?}");
    let verdict: serde_json::Value = serde_json::from_str(line(&published, 0)).unwrap();
    assert_eq!((&verdict["verdict"], &verdict["version"]), (&"accepted".into(), &2.into()));
    let last: serde_json::Value = serde_json::from_str(line(&published, -1)).unwrap();
    assert_eq!((&last["running"], &last["hosts"]), (&5.into(), &5.into()), "{published:?}");
    // The command returned after every node had reported the version, so that each runs it now.
    for index in 0..5 {
        assert_eq!(fleet.status(index).await.unwrap()["version"], 2);
    }
    until_served(entry(&fleet), "/registries/7").await;
    let removed = http::get(entry(&fleet), "/lists/7", REQUEST_TIMEOUT).await.unwrap();
    assert_eq!(removed.status(), ::http::StatusCode::NOT_FOUND);
    let conflict = fleet.publish(&configuration(), 1, &["--json"]).await.unwrap();
    assert_eq!(conflict.code, 3, "{conflict:?}");
}

#[tokio::test]
async fn a_request_that_is_malformed_or_has_no_route_reaches_no_upstream() {
    let fleet = start().await;
    until_served(entry(&fleet), "/lists/7").await;
    let before = starts(&fleet).await;
    let unknown = http::get(entry(&fleet), "/nowhere", REQUEST_TIMEOUT).await.unwrap();
    assert_eq!(unknown.status(), ::http::StatusCode::NOT_FOUND);
    let mut stream = tokio::net::TcpStream::connect(entry(&fleet)).await.unwrap();
    stream.write_all(b"GET /lists/7 HTTP/9.9\r\n\r\n").await.unwrap();
    let mut answer = Vec::new();
    tokio::time::timeout(REQUEST_TIMEOUT, stream.read_to_end(&mut answer)).await.unwrap().unwrap();
    assert!(answer.starts_with(b"HTTP/1.1 400 "), "{:?}", String::from_utf8_lossy(&answer));
    assert_eq!(starts(&fleet).await, before);
}

#[rstest]
#[case::not_json("{", "line 1")]
#[case::unknown_field(
    r#"{"mesh":"m","key":"0123456789abcdef0123456789abcdef","zoen":"a"}"#,
    "/zoen"
)]
#[case::no_mesh(r#"{"key":"0123456789abcdef0123456789abcdef"}"#, "/mesh")]
fn a_node_with_invalid_settings_reports_the_place_and_exits_with_1(
    #[case] text: &str,
    #[case] message: &str,
) {
    let name = format!("dandelionspool-{}-{}.json", process::id(), message.replace('/', "-"));
    let file = env::temp_dir().join(name);
    fs::write(&file, text).unwrap();
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_dandelionspool"));
    let output = command.arg("node").arg("--settings").arg(&file).output().unwrap();
    fs::remove_file(&file).unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains(message), "{stderr}");
}

/// A process that is killed at the end of its test.
struct Child(process::Child);

impl Child {
    async fn ended(&mut self) -> process::ExitStatus {
        let deadline = time::Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status;
            }
            assert!(time::Instant::now() < deadline, "the process does not end");
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // An error means that the process has ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Writes settings like those of the shipped example, at addresses that depend on the process id.
/// Returns their file and the first host.
fn local_settings(dir: &path::Path) -> (path::PathBuf, host::HostId) {
    let number = process::id();
    let first = format!("127.{}.{}.1", 100 + number % 50, number / 50 % 250);
    let text = serde_json::json!({
        "preset": "cascadia",
        "configuration": configuration(),
        "listen": format!("{first}:7100"),
        "log": { "address": format!("{first}:7000") },
        "upstreams": { "guest-shop": { "zones": { "a": 1, "b": 1 }, "grace_ms": 50 } },
    });
    let file = dir.join("local.json");
    fs::write(&file, text.to_string()).unwrap();
    (file, host::HostId::new(format!("{first}:7100").parse().unwrap()))
}

#[tokio::test]
async fn a_small_mesh_in_one_process_serves_and_goes_down_cleanly() {
    let dir = env::temp_dir().join(format!("dandelionspool-local-{}", process::id()));
    fs::create_dir_all(&dir).unwrap();
    let (file, first) = local_settings(&dir);
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_dandelionspool"));
    command.arg("local").arg(&file).stdout(process::Stdio::null());
    let mut child = Child(command.spawn().unwrap());
    let deadline = time::Instant::now() + TIMEOUT;
    while http::get(first.admin_addr(), "/ready", REQUEST_TIMEOUT).await.map(|a| a.status()).ok()
        != Some(::http::StatusCode::OK)
    {
        assert!(time::Instant::now() < deadline, "the mesh does not become ready");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    until_served(first.call_addr(), "/lists/7").await;
    let pid = libc::pid_t::try_from(child.0.id()).unwrap();
    // SAFETY: kill takes two integers; the child has not been waited for, so the id is its own.
    let sent = unsafe { libc::kill(pid, libc::SIGINT) };
    assert_eq!(sent, 0);
    assert_eq!(child.ended().await.code(), Some(0));
    fs::remove_dir_all(&dir).unwrap();
}
