//! Tests of the fault proxy: its rules, and datagrams and connections through it.

use std::net;
use std::time;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::standin::fault;
use crate::standin::fault::rules;
use crate::standin::http;

const TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// A test that receives nothing for this long concludes that nothing was forwarded.
const QUIET_PERIOD: time::Duration = time::Duration::from_millis(150);

fn host(last: u8) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, last], 7100))
}

fn cut(from: &[net::SocketAddr], to: &[net::SocketAddr], ports: &[u16]) -> rules::Rule {
    let faults = rules::Faults { cut: true, ..Default::default() };
    rules::Rule { from: from.to_vec(), to: to.to_vec(), ports: ports.to_vec(), faults }
}

#[rstest]
#[case::any(cut(&[], &[], &[]), true)]
#[case::from(cut(&[host(1)], &[], &[]), true)]
#[case::from_other(cut(&[host(3)], &[], &[]), false)]
#[case::to(cut(&[], &[host(2)], &[]), true)]
#[case::to_other(cut(&[], &[host(1)], &[]), false)]
#[case::port(cut(&[], &[], &[0, 2]), true)]
#[case::port_other(cut(&[], &[], &[1]), false)]
fn a_rule_matches_its_route(#[case] rule: rules::Rule, #[case] matches: bool) {
    let route = rules::Route { from: Some(host(1)), to: host(2), port: 2 };
    assert_eq!(rules::faults(&[rule], route).cut, matches);
}

#[test]
fn an_unknown_sender_matches_no_rule_that_names_a_sender() {
    let route = rules::Route { from: None, to: host(2), port: 2 };
    assert!(!rules::faults(&[cut(&[host(1)], &[], &[])], route).cut);
}

#[test]
fn datagrams_are_lost_and_duplicated_at_the_configured_shares() {
    let faults = rules::Faults { loss: 0.2, twice: 0.1, ..Default::default() };
    let mut rng = SmallRng::seed_from_u64(7);
    let copies: Vec<usize> = (0..10_000).map(|_| faults.copies(&mut rng).len()).collect();
    let share = |count| copies.iter().filter(|c| **c == count).count();
    assert!((1800..2200).contains(&share(0)), "{}", share(0));
    assert!((700..900).contains(&share(2)), "{}", share(2));
}

/// Runs a proxy for two hosts in the background. Returns its control address, the known addresses
/// of the hosts and those they bind. Each test has a `third` octet of its own, as tests run at
/// the same time.
async fn two_hosts(third: u8) -> (net::SocketAddr, [net::SocketAddr; 2], [net::SocketAddr; 2]) {
    let second = u8::try_from(std::process::id() % 100).unwrap() + 20;
    let at = |last| net::SocketAddr::from(([127, second, third, last], 6800));
    let (known, bound) = ([at(1), at(2)], [at(11), at(12)]);
    let control = net::SocketAddr::new(at(20).ip(), 0);
    let options = fault::Options::new(control).host(known[0], bound[0]).host(known[1], bound[1]);
    let server = fault::Server::bind(options).await.unwrap();
    let control = server.control_address().unwrap();
    tokio::spawn(server.serve(std::future::pending()));
    (control, known, bound)
}

async fn set_faults(control: net::SocketAddr, faults: serde_json::Value) {
    let rules = json!([{ "faults": faults }]);
    let method = ::http::Method::POST;
    let answer = http::json(control, method, "/rules", &rules, TIMEOUT).await.unwrap();
    assert!(answer.status().is_success(), "{answer:?}");
}

#[tokio::test]
async fn a_datagram_is_forwarded_from_the_known_address_of_its_sender() {
    let (control, known, bound) = two_hosts(1).await;
    let one = UdpSocket::bind(bound[0]).await.unwrap();
    let two = UdpSocket::bind(bound[1]).await.unwrap();
    let mut buffer = [0; 16];
    one.send_to(b"ping", known[1]).await.unwrap();
    let got = tokio::time::timeout(TIMEOUT, two.recv_from(&mut buffer)).await.unwrap().unwrap();
    assert_eq!(got, (4, known[0]));
    two.send_to(b"pong", got.1).await.unwrap();
    let got = tokio::time::timeout(TIMEOUT, one.recv_from(&mut buffer)).await.unwrap().unwrap();
    assert_eq!(got, (4, known[1]));
    set_faults(control, json!({ "loss": 1.0 })).await;
    one.send_to(b"ping", known[1]).await.unwrap();
    assert!(tokio::time::timeout(QUIET_PERIOD, two.recv_from(&mut buffer)).await.is_err());
    set_faults(control, json!({ "twice": 1.0 })).await;
    one.send_to(b"ping", known[1]).await.unwrap();
    for _ in 0..2 {
        tokio::time::timeout(TIMEOUT, two.recv_from(&mut buffer)).await.unwrap().unwrap();
    }
    let counts = http::get(control, "/counts", TIMEOUT).await.unwrap();
    let counts: serde_json::Value = serde_json::from_slice(counts.body()).unwrap();
    assert_eq!((&counts["datagrams"], &counts["lost"]), (&json!(4), &json!(1)));
}

/// Starts an echo server on `bound` and connects to it through the proxy.
async fn echo(known: net::SocketAddr, bound: net::SocketAddr) -> TcpStream {
    let listener = TcpListener::bind(bound).await.unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                tokio::io::copy(&mut reader, &mut writer).await
            });
        }
    });
    TcpStream::connect(known).await.unwrap()
}

async fn exchange(stream: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    let mut buffer = [0; 4];
    stream.write_all(b"ping").await?;
    stream.read_exact(&mut buffer).await?;
    Ok(buffer)
}

#[tokio::test]
async fn a_connection_hangs_resumes_and_is_cut() {
    let (control, known, bound) = two_hosts(2).await;
    let mut stream = echo(known[1], bound[1]).await;
    assert_eq!(&exchange(&mut stream).await.unwrap(), b"ping");
    set_faults(control, json!({ "hang": true })).await;
    stream.write_all(b"late").await.unwrap();
    let mut buffer = [0; 4];
    assert!(tokio::time::timeout(QUIET_PERIOD, stream.read_exact(&mut buffer)).await.is_err());
    set_faults(control, json!({})).await;
    tokio::time::timeout(TIMEOUT, stream.read_exact(&mut buffer)).await.unwrap().unwrap();
    assert_eq!(&buffer, b"late");
    set_faults(control, json!({ "cut": true })).await;
    let ended = tokio::time::timeout(TIMEOUT, exchange(&mut stream)).await.unwrap();
    assert!(ended.is_err());
    let mut refused = TcpStream::connect(known[1]).await.unwrap();
    assert!(tokio::time::timeout(TIMEOUT, exchange(&mut refused)).await.unwrap().is_err());
}

#[tokio::test]
async fn a_connection_is_reset_after_the_configured_number_of_bytes() {
    let (control, known, bound) = two_hosts(3).await;
    set_faults(control, json!({ "cut_after": 6 })).await;
    let mut stream = echo(known[1], bound[1]).await;
    exchange(&mut stream).await.unwrap();
    let ended = async {
        loop {
            if exchange(&mut stream).await.is_err() {
                break;
            }
        }
    };
    tokio::time::timeout(TIMEOUT, ended).await.unwrap();
}

#[tokio::test]
async fn invalid_rules_are_refused_and_change_nothing() {
    let (control, _, _) = two_hosts(4).await;
    set_faults(control, json!({ "loss": 0.5 })).await;
    let method = ::http::Method::POST;
    let wrong = json!([{ "faults": { "los": 1.0 } }]);
    let answer = http::json(control, method, "/rules", &wrong, TIMEOUT).await.unwrap();
    assert_eq!(answer.status(), ::http::StatusCode::BAD_REQUEST);
    let rules = http::get(control, "/rules", TIMEOUT).await.unwrap();
    let rules: Vec<rules::Rule> = serde_json::from_slice(rules.body()).unwrap();
    assert_eq!(rules[0].faults.loss, 0.5);
}
