//! Connections to the upstream: reuse, time-outs and resets.

use std::io::{Read as _, Write as _};
use std::net;
use std::rc::Rc;
use std::thread;
use std::time;

use bytes::Bytes;
use dandelionspool::proxy;
use dandelionspool::proxy::answer;
use dandelionspool::proxy::pool;
use dandelionspool::proxy::proof;
use dandelionspool::proxy::upload;
use http::HeaderValue;
use http_body_util::BodyExt as _;
use rstest::rstest;

use crate::fake;
use crate::fake::Step;
use crate::rig;

const IDLE: time::Duration = time::Duration::from_secs(60);

/// Starts an upstream on its own thread, so that it runs while the test's thread is blocked. On its
/// first connection, it sends `later` after the answer, or closes the connection if that is `None`.
fn upstream(later: Option<&'static str>) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (number, stream) in (0..2).zip(listener.incoming()) {
            let mut stream = stream.unwrap();
            let mut buffer = [0; 1024];
            let _ = stream.read(&mut buffer).unwrap();
            stream.write_all(&fake::answer(&format!("answer {number}"))).unwrap();
            thread::sleep(time::Duration::from_millis(50));
            if let Some(later) = later.filter(|_| number == 0) {
                stream.write_all(&fake::answer(later)).unwrap();
                // Keeps the connection open until the peer closes it.
                let _ = stream.read(&mut buffer);
            }
        }
    });
    address
}

async fn call(lease: &mut pool::Lease) -> Bytes {
    let request = http::Request::builder().uri("/").header("host", "a");
    let request = request.body(upload::Upload::Buffered(None)).unwrap();
    let answer = lease.send(request, proof::Unsent::fresh()).await.unwrap();
    verified(answer).into_body().collect().await.unwrap().to_bytes()
}

fn verified(answer: answer::Unverified) -> http::Response<hyper::body::Incoming> {
    let (dialect, method) = (proxy::Dialect::default(), http::Method::GET);
    let expected = answer::Expected { dialect: &dialect, method: &method, id: None };
    match answer.verify(&expected).unwrap() {
        answer::Verified::Ran(answer) => answer,
        answer::Verified::NotRun(..) | answer::Verified::Unmarked(_) => {
            panic!("the upstream has rejected the request")
        }
    }
}

#[rstest]
#[case::unexpected_answer(Some("late"))]
#[case::connection_closed(None)]
fn an_idle_connection_that_was_closed_or_has_input_is_not_reused(
    #[case] later: Option<&'static str>,
) {
    rig::run(async {
        let address = upstream(later);
        let pool = Rc::new(pool::Pool::new(IDLE));
        let mut lease = pool.acquire(address, None).await.unwrap();
        assert_eq!(call(&mut lease).await, "answer 0");
        lease.release();
        assert_eq!(pool.idle(), 1);
        // Blocks the runtime, so that it does not notice what arrives meanwhile.
        thread::sleep(time::Duration::from_millis(200));
        let mut lease = pool.acquire(address, None).await.unwrap();
        assert_eq!(call(&mut lease).await, "answer 1");
    });
}

#[test]
fn an_upstream_that_accepts_no_connection_delays_calls_only_briefly() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind((std::net::Ipv4Addr::LOCALHOST, 0).into()).unwrap();
        let silent = socket.listen(1).unwrap();
        let address = silent.local_addr().unwrap();
        // Fills the backlog: further connection attempts hang, like those to a host that is gone.
        let mut kept = Vec::new();
        let limit = time::Duration::from_millis(100);
        while let Ok(Ok(stream)) =
            tokio::time::timeout(limit, tokio::net::TcpStream::connect(address)).await
        {
            kept.push(stream);
        }
        let upstreams = [Some(address), Some(fake.address), None];
        let nodes = rig::nodes(&upstreams, &rig::Claims::default()).await;
        for number in 0..6 {
            let began = time::Instant::now();
            let request = rig::request("GET", "/browse", &format!("soon-{number}"));
            let answer = rig::call(&nodes[2], request, b"").await;
            assert_eq!(answer.status, 200);
            assert!(began.elapsed() < time::Duration::from_millis(900), "{:?}", began.elapsed());
        }
    });
}

#[test]
fn what_the_upstream_has_not_read_of_a_cancelled_call_is_discarded() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (given_up, wait) = std::sync::mpsc::channel();
    let upstream = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        // Reads only after the caller has left.
        wait.recv().unwrap();
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).map(|_| bytes)
    });
    rig::run(async {
        let nodes = rig::nodes(&[None, Some(address)], &rig::Claims::default()).await;
        let request = rig::request("GET", "/browse", "left");
        let call = rig::call(&nodes[0], request, b"");
        let left = tokio::time::timeout(time::Duration::from_millis(200), call).await;
        assert!(left.is_err(), "the upstream does not answer");
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        given_up.send(()).unwrap();
    });
    let read = upstream.join().unwrap();
    assert!(read.is_err(), "the upstream received the call: {read:?}");
}

/// Guards against a second copy of a rejection that is believed for the same request, sent again:
/// it bears the right id, and the request runs.
#[test]
fn a_request_is_not_sent_again_on_the_connection_that_rejected_it() {
    rig::run(async {
        let fake = fake::Fake::start(|_| vec![Step::Write(fake::answer("x"))]).await;
        let pool = Rc::new(pool::Pool::new(IDLE));
        let (first, other) = (HeaderValue::from_static("r1"), HeaderValue::from_static("r2"));
        // The last one comes back after another request.
        for (id, conns) in [(&first, 1), (&first, 2), (&other, 2), (&first, 3)] {
            let mut lease = pool.acquire(fake.address, Some(id)).await.unwrap();
            let request = http::Request::builder().uri("/").header("host", "a");
            let request = request.body(upload::Upload::Buffered(None)).unwrap();
            let answer = lease.send(request, proof::Unsent::fresh()).await.unwrap();
            let _ = verified(answer).into_body().collect().await.unwrap();
            lease.record_rejected(Some(id));
            lease.release();
            assert_eq!(fake.conns(), conns, "after {id:?}");
        }
    });
}

/// Guards against a connection that grows with the requests that it has rejected, and against one
/// that forgets the first of them.
#[test]
fn a_connection_that_has_rejected_many_requests_is_not_reused() {
    const REJECTED: usize = 32;
    rig::run(async {
        let fake = fake::Fake::start(|_| vec![Step::Write(fake::answer("x"))]).await;
        let pool = Rc::new(pool::Pool::new(IDLE));
        for number in 0..2 * REJECTED {
            let id = HeaderValue::from_str(&format!("r{number}")).unwrap();
            let mut lease = pool.acquire(fake.address, Some(&id)).await.unwrap();
            call(&mut lease).await;
            lease.record_rejected(Some(&id));
            lease.release();
            assert_eq!(fake.conns(), number / REJECTED + 1, "after {id:?}");
            assert_eq!(pool.idle(), usize::from(number % REJECTED < REJECTED - 1));
        }
    });
}

/// Guards against connections that pile up while a request is sent and rejected again and again: an
/// upstream accepts no more of them than calls.
#[test]
fn a_request_that_is_rejected_again_and_again_holds_one_connection() {
    rig::run(async {
        let fake = fake::Fake::start(|_| vec![Step::Write(fake::answer("x"))]).await;
        let pool = Rc::new(pool::Pool::new(IDLE));
        let id = HeaderValue::from_static("r1");
        for number in 1..10 {
            let mut lease = pool.acquire(fake.address, Some(&id)).await.unwrap();
            assert_eq!((pool.idle(), fake.conns()), (0, number - 1));
            call(&mut lease).await;
            lease.record_rejected(Some(&id));
            lease.release();
        }
    });
}
