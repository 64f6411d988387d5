//! After a caller was told that its call did not run, nothing may start it any more: neither bytes
//! in a buffer of the kernel, nor a place in a queue, another connection, the rest of an upload, or a
//! key that another call claims.

use std::cell::RefCell;
use std::net;
use std::rc::Rc;
use std::time;

use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task;

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
