//! After a caller was told that its call did not run, nothing may start it any more: neither bytes
//! in a buffer of the kernel, nor a place in a queue, another connection, the rest of an upload, or a
//! key that another call claims.

use std::cell::{Cell, RefCell};
use std::io::{Read as _, Write as _};
use std::net;
use std::rc::Rc;
use std::time;

use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task;

use crate::fake;
use crate::fake::Step;
use crate::rig;

/// Time after which nothing that was begun for a call can still be on its way.
const SETTLE: time::Duration = time::Duration::from_millis(400);

/// The answer of an upstream that has not run the request.
const REJECTION: &str = "HTTP/1.1 503 Service Unavailable\r\ndandelionspool-upstream: shed\r\ncontent-length: 0\r\n\r\n";

/// Size of an upload, above that of a body which is buffered, and of its pieces.
const UPLOAD_BYTES: usize = 1 << 20;
const PIECE_BYTES: usize = 1 << 16;

/// What a connection to an upstream carried.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Carried {
    bytes: usize,
    /// Whether the connection was reset.
    reset: bool,
}

/// An upstream that rejects each request as soon as its head has arrived, and reads on.
struct Rejecting {
    address: net::SocketAddr,
    carried: Rc<RefCell<Vec<Carried>>>,
    task: task::JoinHandle<()>,
}

impl Drop for Rejecting {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Rejecting {
    async fn start() -> Self {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let carried = Rc::<RefCell<Vec<Carried>>>::default();
        let all = Rc::clone(&carried);
        let task = task::spawn_local(async move {
            let mut open = task::JoinSet::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                let all = Rc::clone(&all);
                open.spawn_local(async move {
                    let index = all.borrow().len();
                    all.borrow_mut().push(Carried::default());
                    let mut buffer = vec![0; PIECE_BYTES];
                    loop {
                        match stream.read(&mut buffer).await {
                            Ok(0) => return,
                            Ok(read) => all.borrow_mut()[index].bytes += read,
                            Err(_) => return all.borrow_mut()[index].reset = true,
                        }
                        if buffer.starts_with(b"PUT") {
                            stream.write_all(REJECTION.as_bytes()).await.unwrap();
                            buffer.fill(0);
                        }
                    }
                });
            }
        });
        Self { address, carried, task }
    }

    fn bytes(&self) -> usize {
        self.carried.borrow().iter().map(|carried| carried.bytes).sum()
    }
}

/// The head of the answer on `stream`.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        assert_ne!(stream.read_buf(&mut head).await.unwrap(), 0, "no answer");
    }
    String::from_utf8(head).unwrap()
}

/// Guards against an upload that reaches an upstream whole after the upstream has rejected it and
/// its caller was told so: the upstream could take it for a request of its own.
#[rstest]
#[case::beside_the_entry(1, true)]
#[case::beside_the_entry_chunked(1, false)]
#[case::beside_another_node(0, true)]
#[case::beside_another_node_chunked(0, false)]
fn an_upload_ends_with_its_rejection(#[case] entry: usize, #[case] sized: bool) {
    rig::run(async {
        let upstream = Rejecting::start().await;
        let nodes = rig::nodes(&[None, Some(upstream.address)], &rig::Claims::default()).await;
        let mut caller = TcpStream::connect(nodes[entry].id.call_addr()).await.unwrap();
        let framing = if sized {
            format!("content-length: {UPLOAD_BYTES}")
        } else {
            "transfer-encoding: chunked".to_owned()
        };
        let head = "PUT /uploads HTTP/1.1\r\nhost: shop.test\r\nx-request-id: upload\r\n";
        caller.write_all(format!("{head}{framing}\r\n\r\n").as_bytes()).await.unwrap();
        let mut piece =
            if sized { Vec::new() } else { format!("{PIECE_BYTES:x}\r\n").into_bytes() };
        piece.extend_from_slice(&[b'x'; PIECE_BYTES]);
        piece.extend_from_slice(if sized { b"" } else { b"\r\n" });
        // More than is buffered, so that the upload is streamed from here on.
        for _ in 0..2 {
            caller.write_all(&piece).await.unwrap();
        }
        let answer = read_head(&mut caller).await;
        assert!(answer.contains("dandelionspool-outcome: not-run"), "{answer}");
        let before = upstream.bytes();
        for _ in 2..UPLOAD_BYTES / PIECE_BYTES {
            // Fails once the entry node has closed the connection, as it may.
            let _ = caller.write_all(&piece).await;
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        if !sized {
            let _ = caller.write_all(b"0\r\n\r\n").await;
        }
        tokio::time::sleep(SETTLE).await;
        let later = upstream.bytes() - before;
        assert!(later <= 4 * PIECE_BYTES, "{later} bytes followed the rejection");
    });
}

/// An upstream whose queue of connections is full: the system neither accepts nor refuses another.
struct Full {
    listener: net::TcpListener,
    queued: Vec<net::TcpStream>,
}

impl Full {
    fn start() -> Self {
        let kind = socket2::Type::STREAM;
        let socket = socket2::Socket::new(socket2::Domain::IPV4, kind, None).unwrap();
        socket.bind(&net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = net::TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let limit = time::Duration::from_millis(50);
        let queued = std::iter::from_fn(|| net::TcpStream::connect_timeout(&address, limit).ok());
        Self { queued: queued.collect(), listener }
    }

    fn address(&self) -> net::SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts everything that comes within [`SETTLE`], and returns the bytes that were sent.
    async fn drain(self) -> Vec<u8> {
        drop(self.queued);
        self.listener.set_nonblocking(true).unwrap();
        let (end, mut bytes) = (time::Instant::now() + SETTLE, Vec::new());
        let mut open = Vec::new();
        while time::Instant::now() < end {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(true).unwrap();
                open.push(stream);
            }
            for stream in &mut open {
                let mut buffer = [0; 4096];
                if let Ok(read) = stream.read(&mut buffer) {
                    bytes.extend_from_slice(&buffer[..read]);
                }
            }
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
        bytes
    }
}

fn order(id: &str, millis: u64) -> http::request::Builder {
    rig::request("POST", "/orders", id).header("dandelionspool-deadline-ms", millis)
}

/// Guards against a connection attempt that succeeds after its call was refused as unreachable, and
/// carries the call.
#[rstest]
#[case::beside_the_entry(1)]
#[case::beside_another_node(0)]
fn a_connection_to_an_upstream_that_opens_too_late_carries_nothing(#[case] entry: usize) {
    rig::run(async {
        let upstream = Full::start();
        let nodes = rig::nodes(&[None, Some(upstream.address())], &rig::Claims::default()).await;
        let answer = rig::call(&nodes[entry], order("late", 2000), b"toaster").await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        // Retransmitted attempts would come after 1, 3 and 7 seconds.
        let bytes = upstream.drain().await;
        assert_eq!(String::from_utf8_lossy(&bytes), "");
    });
}

/// An idle connection was closed, and the second one does not open in time.
#[test]
fn a_second_connection_that_opens_too_late_carries_nothing() {
    rig::run(async {
        let mut upstream = Full::start();
        let address = upstream.address();
        let mut queued = std::mem::take(&mut upstream.queued);
        let listener = upstream.listener.try_clone().unwrap();
        let nodes = rig::nodes(&[Some(address)], &rig::Claims::default()).await;
        // Serves one call, and closes its connection after the queue is full again.
        let served = std::thread::spawn(move || {
            queued.clear();
            loop {
                let (mut stream, _) = listener.accept().unwrap();
                let mut buffer = [0; 4096];
                if stream.read(&mut buffer).unwrap_or(0) > 0 {
                    stream.write_all(&fake::answer("first")).unwrap();
                    return stream;
                }
            }
        });
        let first = rig::call(&nodes[0], order("first", 2000), b"").await;
        assert_eq!(first.outcome(), "ran");
        let idle = served.join().unwrap();
        let limit = time::Duration::from_millis(50);
        let connect = || net::TcpStream::connect_timeout(&address, limit).ok();
        upstream.queued.extend(std::iter::from_fn(connect));
        drop(idle);
        let answer = rig::call(&nodes[0], order("second", 2000), b"toaster").await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        let bytes = upstream.drain().await;
        assert_eq!(String::from_utf8_lossy(&bytes), "");
    });
}

/// What lies in a buffer of the kernel when its call has ended may be read and run, also after its
/// connection was reset: it must not count as not run, and must not be sent a second time.
#[rstest]
#[case::beside_the_entry(1)]
#[case::beside_another_node(0)]
fn a_call_in_the_buffer_of_its_upstream_may_run(#[case] entry: usize) {
    rig::run(async {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let other = fake::Fake::start(fake::echo).await;
        let upstreams = [None, Some(listener.local_addr().unwrap()), Some(other.address)];
        let nodes = rig::nodes(&upstreams, &rig::Claims::default()).await;
        // Each order has its own chance to go to the upstream that reads nothing.
        let mut buffered = Vec::new();
        for number in 0..8 {
            let id = format!("order-{number}");
            let answer = rig::call(&nodes[entry], order(&id, 150), b"toaster").await;
            match answer.outcome() {
                "ran" => assert_eq!(other.runs(&id), 1),
                outcome => {
                    assert_eq!((outcome, other.runs(&id)), ("unknown", 0), "{answer:?}");
                    buffered.push(id);
                }
            }
        }
        assert!(!buffered.is_empty(), "no order went to the upstream that reads nothing");
        let ran = other.requests().len();
        let read = task::spawn_blocking(move || {
            listener.set_nonblocking(true).unwrap();
            let mut read = String::new();
            while let Ok((mut stream, _)) = listener.accept() {
                // The bytes come before the error of a connection that was reset.
                let mut bytes = Vec::new();
                let _ = stream.read_to_end(&mut bytes);
                read.push_str(&String::from_utf8_lossy(&bytes));
            }
            read
        });
        let read = read.await.unwrap();
        for id in &buffered {
            assert!(read.matches(&format!("{id}\r\n")).count() <= 1, "{id} was sent twice");
        }
        println!("{} of 8 orders lay in the buffer: {}", buffered.len(), read.len());
        tokio::time::sleep(SETTLE).await;
        assert_eq!(other.requests().len(), ran);
    });
}

/// Guards against a call that waits for a slot, is refused, and is started when one becomes free.
#[rstest]
#[case::beside_the_entry(1)]
#[case::beside_another_node(0)]
fn a_call_that_was_refused_in_the_queue_starts_no_more(#[case] entry: usize) {
    rig::run(async {
        let busy = |request: &fake::Request| {
            [vec![Step::Wait(time::Duration::from_millis(500))], fake::echo(request)].concat()
        };
        let fake = fake::Fake::start(busy).await;
        let upstreams = [None, Some(fake.address)];
        let nodes = rig::nodes_with(&upstreams, 1, &rig::Claims::default(), |s| s).await;
        let first = rig::call(&nodes[entry], order("first", 2000), b"");
        let others = async {
            rig::until(|| fake.runs("first") == 1).await;
            let others = (0..8).map(|number| {
                let id = format!("order-{number}");
                // Some give up shortly before the slot is free.
                let request = order(&id, 100 + 60 * number);
                let node = &nodes[entry];
                async move { (id, rig::call(node, request, b"toaster").await) }
            });
            futures_util::future::join_all(others).await
        };
        let (_, others) = tokio::join!(first, others);
        tokio::time::sleep(2 * SETTLE).await;
        let refused: Vec<_> = others.iter().filter(|(_, a)| a.outcome() == "not-run").collect();
        assert!(refused.len() >= 4, "{others:?}");
        for (id, answer) in refused {
            assert_eq!(fake.runs(id), 0, "{answer:?}");
        }
    });
}

/// Callers that leave while their calls wait are told nothing, and nothing of these calls starts.
#[test]
fn a_call_whose_caller_left_the_queue_starts_no_more() {
    rig::run(async {
        let busy = |request: &fake::Request| {
            [vec![Step::Wait(time::Duration::from_millis(300))], fake::echo(request)].concat()
        };
        let fake = fake::Fake::start(busy).await;
        let upstreams = [None, Some(fake.address)];
        let nodes = rig::nodes_with(&upstreams, 1, &rig::Claims::default(), |s| s).await;
        let first = rig::call(&nodes[0], order("first", 2000), b"");
        let left = async {
            rig::until(|| fake.runs("first") == 1).await;
            let calls = (0..3).map(|number| {
                rig::call(&nodes[number % 2], order(&format!("left-{number}"), 2000), b"toaster")
            });
            let left = futures_util::future::join_all(calls);
            let left = tokio::time::timeout(time::Duration::from_millis(100), left).await;
            assert!(left.is_err(), "they wait for the slot");
        };
        tokio::join!(first, left);
        tokio::time::sleep(2 * SETTLE).await;
        assert_eq!(fake.requests().len(), 1);
    });
}

fn keyed(id: &str) -> http::request::Builder {
    order(id, 1500).header("idempotency-key", "toaster")
}

/// Guards against a key that is released while its call is on its way: the next call of the key
/// would run beside it.
#[rstest]
#[case::beside_the_entry(0)]
#[case::beside_another_node(1)]
fn the_end_of_an_entry_node_releases_no_key_whose_call_is_on_its_way(#[case] entry: usize) {
    rig::run(async {
        let fake = fake::Fake::start(|_| vec![Step::AwaitClose]).await;
        let claims = rig::Claims::default();
        let mut nodes = rig::nodes(&[Some(fake.address), None, None], &claims).await;
        let ended = nodes.remove(entry);
        tokio::select! {
            answer = rig::call(&ended, keyed("first"), b"toaster") => panic!("{answer:?}"),
            () = rig::until(|| fake.runs("first") == 1) => {}
        }
        drop(ended);
        tokio::time::sleep(SETTLE).await;
        assert!(claims.released.borrow().is_empty());
        let again = rig::call(&nodes[1], keyed("again"), b"toaster").await;
        assert_eq!((again.outcome(), fake.requests().len()), ("unknown", 1), "{again:?}");
    });
}

/// The claim of a key arrives after the deadline of its call, or not at all: the caller is told that
/// the call did not run, and it starts no more.
#[rstest]
#[case::beside_the_entry(0)]
#[case::beside_another_node(1)]
fn a_claim_that_comes_too_late_starts_nothing(#[case] entry: usize) {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let claims = rig::Claims::default();
        claims.delay.set(time::Duration::from_millis(300));
        let nodes = rig::nodes(&[Some(fake.address), None], &claims).await;
        let late = order("late", 150).header("idempotency-key", "toaster");
        let answer = rig::call(&nodes[entry], late, b"toaster").await;
        assert_eq!(answer.outcome(), "not-run", "{answer:?}");
        tokio::time::sleep(2 * SETTLE).await;
        assert!(fake.requests().is_empty());
        let again = rig::call(&nodes[entry], keyed("again"), b"toaster").await;
        assert_eq!((again.outcome(), fake.requests().len()), ("ran", 1), "{again:?}");
    });
}

/// A caller that is told "not run" may send its order again under the same key. Of all these calls,
/// one runs.
#[test]
fn calls_of_one_key_run_once_among_upstreams_that_reject_and_lose() {
    rig::run(async {
        let turn = Cell::new(0);
        let script = move |request: &fake::Request| match turn.replace(turn.get() + 1) % 4 {
            0..=2 => vec![Step::Write(REJECTION.into())],
            _ => [vec![Step::Wait(time::Duration::from_millis(30))], fake::echo(request)].concat(),
        };
        let fake = fake::Fake::start(script).await;
        let claims = rig::Claims::default();
        let nodes = rig::nodes(&[Some(fake.address), None, None], &claims).await;
        let mut runs = 0;
        for round in 0..10 {
            let before = fake.requests().len();
            let key = format!("key-{round}");
            let calls = (0..9).map(|number| {
                let id = format!("r-{round}-{number}");
                let request = order(&id, 1500).header("idempotency-key", key.as_str());
                rig::call(&nodes[number % 3], request, b"toaster")
            });
            let answers = futures_util::future::join_all(calls).await;
            tokio::time::sleep(time::Duration::from_millis(100)).await;
            let requests = fake.requests();
            // Every fourth request runs.
            let ran = (before..requests.len()).filter(|index| index % 4 == 3).count();
            assert!(ran <= 1, "{ran} calls of the key ran: {answers:?}");
            let told = answers.iter().filter(|answer| answer.outcome() == "ran").count();
            assert!(told == 0 || ran == 1, "{told} were told of a run: {answers:?}");
            runs += ran;
        }
        assert!(runs > 0, "no call ran");
    });
}
