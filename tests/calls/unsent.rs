//! Requests that the HTTP library gives back as unsent, while connections close and reset at each
//! moment: what was written must never be sent again.

use std::cell::{Cell, RefCell};
use std::collections;
use std::io::{ErrorKind, Read as _, Write as _};
use std::net;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time;

use dandelionspool::host;
use dandelionspool::proxy::internode;
use dandelionspool::proxy::links;
use dandelionspool::proxy::pool;
use dandelionspool::proxy::proof;
use dandelionspool::proxy::upload;
use dandelionspool::retry;
use dandelionspool::seal;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::raw_peer;
use crate::rig;

/// Number of orders of a play.
const ORDERS: usize = 400;

/// Maximum number of connections tried for an order, as at a node.
const MAX_TRIES: usize = 3;

/// Bodies of orders, short ones and some that fill the buffers of a connection that is not read.
const SHORT_BYTES: usize = 20;
const LONG_BYTES: usize = 8 << 20;

/// Ends the body of each order.
const END: &str = "end-of-order";

/// Time for which the end of a connection waits for what is on its way to it.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(30);

/// Marks the id of an order in what an upstream reads.
const MARK: &str = "x-request-id: ";

/// What upstreams have read: the number of connections on which a part of each order came.
type Read = Arc<Mutex<collections::HashMap<String, usize>>>;

/// An upstream that ends each connection at a random moment.
struct Upstream {
    address: net::SocketAddr,
    read: Read,
}

impl Upstream {
    fn start(seed: u64) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let read = Read::default();
        let all = Arc::clone(&read);
        thread::spawn(move || {
            let mut rng = SmallRng::seed_from_u64(seed);
            for stream in listener.incoming() {
                let (Ok(stream), all) = (stream, Arc::clone(&all)) else { return };
                let rng = SmallRng::seed_from_u64(rng.random());
                thread::spawn(move || serve(stream, rng, &all));
            }
        });
        Self { address, read }
    }

    /// Number of connections on which a part of the order `id` came.
    fn times(&self, id: &str) -> usize {
        self.read.lock().unwrap().get(id).copied().unwrap_or(0)
    }
}

/// Answers some requests, and then ends the connection: before a request, within it, or after it,
/// with or without having read it.
fn serve(mut stream: net::TcpStream, mut rng: SmallRng, all: &Read) {
    let (mut bytes, mut answered) = (Vec::new(), 0);
    let answers = rng.random_range(0..4);
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    while answered < answers {
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(_) => break,
        }
        if bytes.ends_with(END.as_bytes()) {
            answered += 1;
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        }
    }
    // Around the time at which the next request is written on the connection.
    thread::sleep(time::Duration::from_micros(rng.random_range(0..400)));
    let way = rng.random_range(0..4);
    if way == 0 {
        // The end of the connection arrives while the request does.
        let _ = stream.shutdown(net::Shutdown::Write);
    }
    if way < 3 {
        // Reads what is in the buffer of the kernel, as it may run.
        thread::sleep(time::Duration::from_micros(rng.random_range(0..2000)));
        let mut buffer = vec![0; 65_536];
        let limit = rng.random_range(1..40);
        for _ in 0..limit {
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(read) => bytes.extend_from_slice(&buffer[..read]),
            }
        }
    }
    if way == 1 {
        let socket = socket2::SockRef::from(&stream);
        let _ = socket.set_linger(Some(time::Duration::ZERO));
    }
    record(&bytes, all);
}

/// Records the orders of which `bytes`, all of a connection, have a part.
fn record(bytes: &[u8], all: &Read) {
    let text = String::from_utf8_lossy(bytes);
    let mut all = all.lock().unwrap();
    for (at, _) in text.match_indices(MARK) {
        let id = text[at + MARK.len()..].lines().next().unwrap_or_default();
        *all.entry(id.to_owned()).or_default() += 1;
    }
}

fn order(id: &str, bytes: usize) -> http::Request<upload::Upload> {
    let body = [vec![b'x'; bytes].as_slice(), END.as_bytes()].concat();
    let request = http::Request::post("/orders").header("host", "a").header("x-request-id", id);
    request.body(upload::Upload::Buffered(Some(body.into()))).unwrap()
}

/// What became of an order.
#[derive(Debug, Default)]
struct Tried {
    unsent: usize,
    lost: bool,
}

/// Waits for a random time of up to `max`, in which a connection that was chosen may end.
async fn pause(max: time::Duration) {
    if !max.is_zero() {
        tokio::time::sleep(rand::rng().random_range(time::Duration::ZERO..max)).await;
    }
}

/// Sends an order as an owner node does, but for the pause before it.
async fn send(
    pool: &Rc<pool::Pool>,
    address: net::SocketAddr,
    id: &str,
    bytes: usize,
    max_pause: time::Duration,
) -> Tried {
    let (mut request, mut tried) = (order(id, bytes), Tried::default());
    let value = http::HeaderValue::from_str(id).unwrap();
    for _ in 0..MAX_TRIES {
        let mut lease = pool.acquire(address, Some(&value)).await.unwrap();
        pause(max_pause).await;
        let answer = tokio::time::timeout(
            time::Duration::from_secs(5),
            lease.send(request, proof::Unsent::fresh()),
        )
        .await;
        match answer.expect("the connection ends") {
            Ok(_) => {
                lease.release();
                return tried;
            }
            Err(pool::Failed::Unsent(unsent, _)) => {
                request = *unsent;
                tried.unsent += 1;
            }
            Err(pool::Failed::Lost(_) | pool::Failed::Endless) => {
                tried.lost = true;
                return tried;
            }
        }
    }
    tried
}

/// Guards against a request that was written, given back as unsent, and sent on another connection.
#[rstest]
#[case::short(SHORT_BYTES, 1, 0)]
#[case::short_at_once(SHORT_BYTES, 6, 0)]
#[case::short_after_a_pause(SHORT_BYTES, 1, 3)]
#[case::short_at_once_after_a_pause(SHORT_BYTES, 6, 3)]
#[case::long(LONG_BYTES, 1, 0)]
fn an_order_is_written_on_one_connection_to_its_upstream(
    #[case] bytes: usize,
    #[case] at_once: usize,
    #[case] pause_ms: u64,
    #[values(1, 2)] seed: u64,
) {
    rig::run(async {
        let upstream = Upstream::start(seed);
        let pool = Rc::new(pool::Pool::new(time::Duration::from_secs(60)));
        let count = if bytes == LONG_BYTES { ORDERS / 8 } else { ORDERS };
        let (mut tried, pause) = (Vec::new(), time::Duration::from_millis(pause_ms));
        for first in (0..count).step_by(at_once) {
            let ids: Vec<_> = (first..first + at_once).map(|n| format!("order-{n}")).collect();
            let orders = ids.iter().map(|id| send(&pool, upstream.address, id, bytes, pause));
            tried.extend(futures_util::future::join_all(orders).await.into_iter().zip(ids));
        }
        tokio::time::sleep(3 * READ_TIMEOUT).await;
        let unsent = tried.iter().filter(|(tried, _)| tried.unsent > 0).count();
        let lost = tried.iter().filter(|(tried, _)| tried.lost).count();
        println!("{} orders: {unsent} given back, {lost} lost", tried.len());
        for (tried, id) in &tried {
            assert!(
                upstream.times(id) <= 1,
                "{id} was written {} times: {tried:?}",
                upstream.times(id)
            );
            let never_sent = tried.unsent == MAX_TRIES;
            assert!(!never_sent || upstream.times(id) == 0, "{id} was written: {tried:?}");
        }
        assert!(lost > 0, "no connection ended within an order");
        assert!(pause_ms == 0 || unsent > 0, "no order was given back");
    });
}

/// Steps of a peer that ends its connection by a random way at a random moment.
fn end(rng: &mut SmallRng, stream: u32) -> Vec<raw_peer::Step> {
    let wait = time::Duration::from_micros(rng.random_range(0..1500));
    let head = raw_peer::head(stream, true, 200, &[("dandelionspool-outcome", "ran")]);
    let answer = vec![raw_peer::Step::Write(head)];
    let last = if rng.random() { stream } else { 1 };
    let goaway = raw_peer::Step::Write(raw_peer::goaway(last, raw_peer::NO_ERROR));
    let (wait, close, reset) =
        (raw_peer::Step::Wait(wait), raw_peer::Step::Close, raw_peer::Step::Reset);
    match rng.random_range(0..8) {
        0 => vec![wait, close],
        1 => vec![wait, reset],
        2 => vec![goaway, wait, close],
        3 => [answer, vec![wait, close]].concat(),
        4 => [answer, vec![goaway, wait, close]].concat(),
        5 => [answer, vec![wait, goaway]].concat(),
        6 => [answer, vec![wait, reset]].concat(),
        _ => answer,
    }
}

/// Sends an order as an entry node does, but for a pause between the choice of the link and the
/// order. Counts in `given_back` how often the library gave it back.
async fn send_after_pause(
    links: &links::Links,
    host: host::HostId,
    mut request: http::Request<upload::Upload>,
    given_back: &Cell<usize>,
) -> Option<retry::Outcome> {
    for _ in 0..MAX_TRIES {
        let Ok(mut link) = links.get_within(host, None).await else {
            return Some(retry::Outcome::NotRun(retry::Reason::Unreachable));
        };
        pause(time::Duration::from_millis(3)).await;
        match link.try_send_request(request).await {
            Ok(_) => return None,
            Err(mut failed) => match failed.take_message() {
                Some(unsent) => request = unsent,
                None => return Some(retry::Outcome::Unknown(retry::Reason::Cut)),
            },
        }
        given_back.set(given_back.get() + 1);
    }
    Some(retry::Outcome::NotRun(retry::Reason::Unreachable))
}

/// Guards against the same between nodes.
#[rstest]
#[case::one_by_one(1, false)]
#[case::at_once(6, false)]
#[case::one_by_one_after_a_pause(1, true)]
#[case::at_once_after_a_pause(6, true)]
fn an_order_is_written_on_one_link(
    #[case] at_once: usize,
    #[case] paused: bool,
    #[values(1, 2)] seed: u64,
) {
    rig::run(async {
        let host = host::HostId::new(rig::address());
        let rng = RefCell::new(SmallRng::seed_from_u64(seed));
        let behaviour = raw_peer::Behaviour::new(raw_peer::When::Whole, move |stream| {
            end(&mut rng.borrow_mut(), stream)
        });
        let peer = raw_peer::Peer::start(host.inner_addr(), behaviour).await;
        let settings = Arc::new(rig::settings(rig::address()));
        let me = host::HostId::new(settings.listen);
        let seal = seal::Seal::new(&settings.mesh, &settings.key);
        let links = links::Links::new(me, seal, Arc::clone(&settings));
        let (mut outcomes, given_back) = (Vec::new(), Cell::new(0));
        for first in (0..ORDERS).step_by(at_once) {
            let ids: Vec<_> = (first..first + at_once).map(|n| format!("order-{n};")).collect();
            let calls = ids.iter().map(async |id| {
                let body = upload::Upload::Buffered(Some(id.clone().into()));
                let request = http::Request::post("http://none.invalid/orders").body(body);
                let request = request.unwrap();
                if paused {
                    return send_after_pause(&links, host, request, &given_back).await;
                }
                let end = tokio::time::Instant::now() + time::Duration::from_secs(5);
                let answer =
                    internode::call(&links, host, request, proof::Unsent::fresh(), end).await;
                answer.result.err().map(|refusal| refusal.outcome())
            });
            outcomes.extend(futures_util::future::join_all(calls).await.into_iter().zip(ids));
        }
        let seen = peer.seen();
        let count = |wanted: fn(&retry::Outcome) -> bool| {
            outcomes.iter().filter(|(o, _)| o.as_ref().is_some_and(wanted)).count()
        };
        let unknown = count(|outcome| matches!(outcome, retry::Outcome::Unknown(_)));
        let not_run = count(|outcome| matches!(outcome, retry::Outcome::NotRun(_)));
        let conns = seen.iter().map(|seen| seen.conn).max().unwrap_or(0) + 1;
        let (orders, given_back) = (outcomes.len(), given_back.get());
        println!(
            "{orders} orders on {conns} links: {unknown} unknown, {not_run} not run, \
             {given_back} given back"
        );
        for (outcome, id) in &outcomes {
            let streams = seen.iter().filter(|seen| seen.body == id.as_bytes()).count();
            assert!(streams <= 1, "{id} was sent {streams} times: {outcome:?}");
            let not_run = matches!(outcome, Some(retry::Outcome::NotRun(_)));
            assert!(!not_run || streams == 0, "{id} was sent: {outcome:?}");
        }
        assert!(unknown > 0, "no link ended within an order");
        assert!(!paused || given_back > 0, "no order was given back");
    });
}
