//! The whole path in separate processes: an operator publishes, nodes and upstreams run, a caller
//! gets the whole answer through a node that is not the upstream's own.

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

const LIMIT: time::Duration = time::Duration::from_secs(10);
const PATIENCE: time::Duration = time::Duration::from_secs(30);

fn programs() -> fleet::Programs {
    fleet::Programs {
        node: path::PathBuf::from(env!("CARGO_BIN_EXE_dandelionspool")),
        bench: path::PathBuf::from(env!("CARGO_BIN_EXE_dandelionspool-bench")),
    }
}

fn configuration() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/configurations/cascadia.json")
}

/// Two upstreams of each service and a host without one.
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

/// Address for callers of the host without an upstream.
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
    http::send(to, request, LIMIT).await.unwrap()
}

fn header<'a>(answer: &'a ::http::Response<Bytes>, name: &str) -> &'a str {
    answer.headers().get(name).map(|v| v.to_str().unwrap()).unwrap_or_default()
}

/// Repeats `path` until it is served; the view of the upstreams takes a moment to spread.
async fn served(to: net::SocketAddr, path: &str) -> ::http::Response<Bytes> {
    let end = time::Instant::now() + PATIENCE;
    loop {
        let answer = http::get(to, path, LIMIT).await.unwrap();
        if answer.status() == ::http::StatusCode::OK {
            return answer;
        }
        assert_eq!(header(&answer, headers::OUTCOME), headers::NOT_RUN);
        assert!(time::Instant::now() < end, "{path} is not served: {answer:?}");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

async fn starts(fleet: &fleet::Fleet) -> u64 {
    let mut starts = 0;
    for index in 0..4 {
        starts += fleet.record(index).await.unwrap().starts;
    }
    starts
}

/// Line `index` of what a command printed; -1 is the last one.
fn line(published: &fleet::Published, index: isize) -> &str {
    let lines: Vec<_> = published.stdout.lines().collect();
    lines[index.rem_euclid(lines.len() as isize) as usize]
}

async fn until_all_run(fleet: &fleet::Fleet, version: u64) {
    let end = time::Instant::now() + PATIENCE;
    for index in 0..fleet.hosts().len() {
        while fleet.status(index).await.unwrap()["version"] != version {
            assert!(time::Instant::now() < end, "host {index} does not run version {version}");
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn a_caller_gets_the_whole_answer_through_another_node() {
    let fleet = start().await;
    let answer = served(entry(&fleet), "/lists/7").await;
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
    served(entry(&fleet), "/lists/7").await;
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
    // Followed to its end: no node is asked again before it runs the version.
    for index in 0..5 {
        assert_eq!(fleet.status(index).await.unwrap()["version"], 2);
    }
    served(entry(&fleet), "/registries/7").await;
    let gone = http::get(entry(&fleet), "/lists/7", LIMIT).await.unwrap();
    assert_eq!(gone.status(), ::http::StatusCode::NOT_FOUND);
    let late = fleet.publish(&configuration(), 1, &["--json"]).await.unwrap();
    assert_eq!(late.code, 3, "{late:?}");
}

#[tokio::test]
async fn what_is_malformed_or_has_no_route_reaches_no_upstream() {
    let fleet = start().await;
    served(entry(&fleet), "/lists/7").await;
    let before = starts(&fleet).await;
    let unknown = http::get(entry(&fleet), "/nowhere", LIMIT).await.unwrap();
    assert_eq!(unknown.status(), ::http::StatusCode::NOT_FOUND);
    let mut stream = tokio::net::TcpStream::connect(entry(&fleet)).await.unwrap();
    stream.write_all(b"GET /lists/7 HTTP/9.9\r\n\r\n").await.unwrap();
    let mut answer = Vec::new();
    tokio::time::timeout(LIMIT, stream.read_to_end(&mut answer)).await.unwrap().unwrap();
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
fn a_node_with_broken_settings_says_where_and_ends_with_1(#[case] text: &str, #[case] says: &str) {
    let name = format!("dandelionspool-{}-{}.json", process::id(), says.replace('/', "-"));
    let file = env::temp_dir().join(name);
    fs::write(&file, text).unwrap();
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_dandelionspool"));
    let output = command.arg("node").arg("--settings").arg(&file).output().unwrap();
    fs::remove_file(&file).unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains(says), "{stderr}");
}

/// A process that does not outlive its test.
struct Child(process::Child);

impl Child {
    async fn ended(&mut self) -> process::ExitStatus {
        let end = time::Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status;
            }
            assert!(time::Instant::now() < end, "the process does not end");
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // An error means that it has ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An example like the shipped one at addresses of this process's own.
fn local_example(dir: &path::Path) -> (path::PathBuf, host::HostId) {
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
    let (file, first) = local_example(&dir);
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_dandelionspool"));
    command.arg("local").arg(&file).stdout(process::Stdio::null());
    let mut child = Child(command.spawn().unwrap());
    let end = time::Instant::now() + PATIENCE;
    while http::get(first.admin_addr(), "/ready", LIMIT).await.map(|a| a.status()).ok()
        != Some(::http::StatusCode::OK)
    {
        assert!(time::Instant::now() < end, "the mesh does not get ready");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    served(first.call_addr(), "/lists/7").await;
    let pid = libc::pid_t::try_from(child.0.id()).unwrap();
    // SAFETY: signals the child that this test started and has not waited for.
    let sent = unsafe { libc::kill(pid, libc::SIGINT) };
    assert_eq!(sent, 0);
    assert_eq!(child.ended().await.code(), Some(0));
    fs::remove_dir_all(&dir).unwrap();
}
