//! Tests of the openings of connections that calls with little time wait for.

use std::cell::Cell;
use std::convert;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time;

use http_body_util::Empty;
use hyper::server::conn::http2;
use hyper::service;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task;

use crate::configs;
use crate::host;
use crate::proxy::internode;
use crate::proxy::links;
use crate::proxy::proof;
use crate::proxy::upload;
use crate::seal;

/// How long the node takes to answer a greeting: longer than the calls wait, and shorter than
/// `connect_ms`.
const GREETING: time::Duration = time::Duration::from_millis(120);

/// How long the calls wait for a connection.
const LIMIT: time::Duration = time::Duration::from_millis(40);

/// A node that is slow to answer the greetings.
struct SlowNode {
    host: host::HostId,
    greetings: Rc<Cell<u32>>,
}

impl SlowNode {
    async fn start() -> Self {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let host = host::HostId::from_inner_addr(listener.local_addr().expect("an address"));
        let greetings = Rc::new(Cell::new(0));
        let counted = Rc::clone(&greetings);
        task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let counted = Rc::clone(&counted);
                let greet = service::service_fn(move |_| {
                    counted.set(counted.get() + 1);
                    async {
                        tokio::time::sleep(GREETING).await;
                        Ok::<_, convert::Infallible>(http::Response::new(Empty::<&[u8]>::new()))
                    }
                });
                let builder = http2::Builder::new(links::LocalExecutor);
                task::spawn_local(builder.serve_connection(TokioIo::new(stream), greet));
            }
        });
        Self { host, greetings }
    }
}

fn new_links() -> links::Links {
    let me = host::HostId::new(net::SocketAddr::from(([127, 0, 0, 1], 7100)));
    let settings = Arc::new(configs::Node::default());
    links::Links::new(me, seal::Seal::new("mesh", "key"), settings)
}

async fn run(test: impl Future<Output = ()>) {
    task::LocalSet::new().run_until(test).await;
}

/// Where each call aborted the opening with its own wait, a host that is back would stay without a
/// connection for as long as all calls have little time.
#[tokio::test]
async fn an_opening_goes_on_when_the_calls_that_wait_for_it_give_up() {
    run(async {
        let (node, links) = (SlowNode::start().await, new_links());
        let began = time::Instant::now();
        let given_up = links.get_within(node.host, Some(LIMIT)).await;
        assert!(matches!(given_up, Err(links::Error::GivenUp)));
        assert!(began.elapsed() < GREETING, "the limit bounds the wait: {:?}", began.elapsed());
        tokio::time::sleep(GREETING).await;
        assert!(links.get_within(node.host, Some(LIMIT)).await.is_ok());
        assert_eq!(node.greetings.get(), 1);
    })
    .await;
}

/// The picker must not eject a host for the little time that a call had.
#[tokio::test]
async fn a_call_tells_whether_it_gave_up_the_wait_for_a_connection() {
    run(async {
        let (node, links) = (SlowNode::start().await, new_links());
        let connect = time::Duration::from_millis(configs::Node::default().proxy.connect_ms);
        let end = tokio::time::Instant::now() + connect * 20;
        let request = || http::Request::new(upload::Upload::Buffered(None));
        let unsent = proof::Unsent::fresh;
        let answer = internode::call_within(
            &links,
            node.host,
            request(),
            unsent(),
            (end, Some(LIMIT)),
            |_, _| (),
        )
        .await;
        let outcome = answer.result.expect_err("no connection").outcome();
        assert!(answer.given_up && outcome.is_unreachable());
        let silent = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let host = host::HostId::from_inner_addr(silent.local_addr().expect("an address"));
        let answer = internode::call_within(
            &links,
            host,
            request(),
            unsent(),
            (end, Some(connect)),
            |_, _| (),
        )
        .await;
        let outcome = answer.result.expect_err("no connection").outcome();
        assert!(!answer.given_up && outcome.is_unreachable(), "it has waited for connect_ms");
    })
    .await;
}

/// Calls that wait at the same time share one opening, also those that came later.
#[tokio::test]
async fn one_connection_is_opened_for_all_calls() {
    run(async {
        let (node, links) = (SlowNode::start().await, new_links());
        let late = async {
            tokio::time::sleep(GREETING - LIMIT / 2).await;
            links.get_within(node.host, Some(GREETING)).await
        };
        let long = Some(GREETING * 2);
        let (short, first, second, late, unlimited) = tokio::join!(
            links.get_within(node.host, Some(LIMIT)),
            links.get_within(node.host, long),
            links.get_within(node.host, long),
            late,
            links.get_within(node.host, None),
        );
        assert!(short.is_err());
        assert!([first, second, late, unlimited].iter().all(Result::is_ok));
        assert_eq!(node.greetings.get(), 1);
    })
    .await;
}

/// The opening itself is bounded, and a failed one doesn't stand for later ones.
#[tokio::test]
async fn a_failed_opening_ends_and_the_next_call_begins_another() {
    run(async {
        let links = new_links();
        // Accepts connections in the system's queue only, so that no greeting is answered.
        let silent = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let host = host::HostId::from_inner_addr(silent.local_addr().expect("an address"));
        let connect = time::Duration::from_millis(configs::Node::default().proxy.connect_ms);
        for _ in 0..2 {
            let began = time::Instant::now();
            let failed = links.get_within(host, Some(connect * 20)).await;
            assert!(matches!(failed, Err(links::Error::Opening(_))), "the host was unreachable");
            let took = began.elapsed();
            assert!(connect <= took && took < connect * 10, "{took:?}");
            assert!(links.openings.borrow().is_empty());
        }
    })
    .await;
}
