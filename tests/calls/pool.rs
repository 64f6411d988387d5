//! What arrives on an idle connection before the runtime has looked at it.

use std::io::{Read as _, Write as _};
use std::net;
use std::rc::Rc;
use std::thread;
use std::time;

use bytes::Bytes;
use dandelionspool::proxy::pool;
use dandelionspool::proxy::upload;
use http_body_util::BodyExt as _;
use rstest::rstest;

use crate::fake;
use crate::rig;

const IDLE: time::Duration = time::Duration::from_secs(60);

/// An upstream on a thread of its own, which goes on while the test's thread is kept busy. On its
/// first connection, `later` follows the answer.
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
                // Stays open until the other end closes it.
                let _ = stream.read(&mut buffer);
            }
        }
    });
    address
}

async fn ask(lease: &mut pool::Lease) -> Bytes {
    let request = http::Request::builder().uri("/").header("host", "a");
    let answer = lease.send(request.body(upload::Upload::Buffered(None)).unwrap()).await.unwrap();
    answer.into_body().collect().await.unwrap().to_bytes()
}

#[rstest]
#[case::an_answer_nobody_asked_for(Some("late"))]
#[case::the_end_of_the_connection(None)]
fn is_seen_before_the_next_call_goes_out(#[case] later: Option<&'static str>) {
    rig::run(async {
        let address = upstream(later);
        let pool = Rc::new(pool::Pool::new(IDLE));
        let mut lease = pool.acquire(address).await.unwrap();
        assert_eq!(ask(&mut lease).await, "answer 0");
        lease.release();
        assert_eq!(pool.idle(), 1);
        // The runtime has no chance to hear of what comes meanwhile.
        thread::sleep(time::Duration::from_millis(200));
        let mut lease = pool.acquire(address).await.unwrap();
        assert_eq!(ask(&mut lease).await, "answer 1");
    });
}

#[test]
fn an_upstream_that_takes_no_connection_is_given_up_soon() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind((std::net::Ipv4Addr::LOCALHOST, 0).into()).unwrap();
        let silent = socket.listen(1).unwrap();
        let address = silent.local_addr().unwrap();
        // Nobody accepts: the next connection waits like one to a host that is gone.
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
fn a_call_that_is_given_up_takes_back_what_the_upstream_has_not_read() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (given_up, wait) = std::sync::mpsc::channel();
    let upstream = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        // It reads only after the caller has left.
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
    assert!(read.is_err(), "the upstream was given the call: {read:?}");
}
