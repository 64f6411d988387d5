//! Hosts that have lost power: connection attempts to them are neither accepted nor refused.

use std::net;
use std::time;

use crate::fake;
use crate::rig;

/// Hosts with an upstream, and how many of them have lost power.
const HOSTS: usize = 10;
const LOST: usize = 7;

/// Time between two calls of the load.
const CALL_INTERVAL: time::Duration = time::Duration::from_millis(2);

/// Number of calls of the load. All of them arrive before the first connection attempt has timed
/// out, so that the entry node knows of no loss, as the many entry nodes of a mesh when the loss
/// begins.
const CALLS: u64 = 100;

/// A host without power: nothing accepts connections at its address, and nothing refuses them.
struct LostHost {
    _listener: socket2::Socket,
    _queued: net::TcpStream,
}

impl LostHost {
    /// Takes the place of `node`, which is dropped.
    async fn replace(node: rig::Node) -> Self {
        let address = node.id.inner_addr();
        drop(node);
        rig::until(|| net::TcpListener::bind(address).is_ok()).await;
        let kind = socket2::Type::STREAM;
        let listener = socket2::Socket::new(socket2::Domain::IPV4, kind, None).unwrap();
        listener.set_reuse_address(true).unwrap();
        listener.bind(&address.into()).unwrap();
        // The queue holds one connection, which is never accepted. The system drops the packets of
        // all further ones.
        listener.listen(0).unwrap();
        let queued = net::TcpStream::connect(address).unwrap();
        Self { _listener: listener, _queued: queued }
    }
}

/// An entry node without an upstream, and the nodes of [`HOSTS`] upstreams, of which the first
/// [`LOST`] have lost power.
struct Fleet {
    entry: rig::Node,
    _live: Vec<rig::Node>,
    _lost: Vec<LostHost>,
    upstreams: Vec<fake::Fake>,
}

impl Fleet {
    async fn start(divert: bool, attempts: u8) -> Self {
        let mut upstreams = Vec::new();
        for _ in 0..HOSTS {
            upstreams.push(fake::Fake::start(fake::echo).await);
        }
        let mut addresses = vec![None];
        addresses.extend(upstreams.iter().map(|upstream| Some(upstream.address)));
        let change = |mut settings: dandelionspool::configs::Node| {
            settings.call.divert_unreachable = divert;
            settings.call.attempts = attempts;
            settings
        };
        let mut nodes = rig::nodes_with(&addresses, 9, &rig::Claims::default(), change).await;
        let live = nodes.split_off(1 + LOST);
        let mut lost = Vec::new();
        for node in nodes.split_off(1) {
            lost.push(LostHost::replace(node).await);
        }
        let entry = nodes.pop().unwrap();
        Self { entry, _live: live, _lost: lost, upstreams }
    }

    /// Makes one call with `deadline`.
    async fn call(&self, number: u64, deadline: time::Duration) -> rig::Answer {
        let request = rig::request("GET", "/browse", &format!("call-{number}"))
            .header("dandelionspool-deadline-ms", deadline.as_millis().to_string());
        rig::call(&self.entry, request, b"").await
    }

    /// Makes [`CALLS`] calls at regular intervals, and returns how many were not served since hosts
    /// were unreachable.
    async fn refused(&self) -> usize {
        let calls = (0..CALLS).map(|number| async move {
            tokio::time::sleep(CALL_INTERVAL * u32::try_from(number).unwrap()).await;
            self.call(number, time::Duration::from_secs(2)).await
        });
        let answers = futures_util::future::join_all(calls).await;
        answers.iter().filter(|answer| answer.outcome() != "ran").count()
    }

    fn runs(&self) -> usize {
        self.upstreams.iter().map(|upstream| upstream.requests().len()).sum()
    }
}

/// The load that the part answers: seven in ten hosts are lost at once, and each call may have two
/// attempts.
#[test]
fn calls_reach_the_hosts_that_are_left_after_seven_in_ten_are_lost() {
    rig::run(async {
        let before = Fleet::start(false, 2).await.refused().await;
        let fleet = Fleet::start(true, 2).await;
        let after = fleet.refused().await;
        println!("{before} of {CALLS} refused without replacements, {after} with them");
        assert!(before >= 10, "the load must refuse calls: {before} of {CALLS}");
        assert!(after * 10 <= before, "{after} of {before} are still refused");
        assert_eq!(fleet.runs(), usize::try_from(CALLS).unwrap() - after, "each ran once");
        assert!(fleet.entry.retries.diverted.get() > 0);
    });
}

/// An address at which connections are refused.
fn closed_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Nodes that make one attempt for each call, an entry node and one for each of `upstreams`.
async fn single_attempts(divert: bool, upstreams: &[net::SocketAddr]) -> Vec<rig::Node> {
    let addresses: Vec<_> =
        [None].into_iter().chain(upstreams.iter().map(|address| Some(*address))).collect();
    let change = |mut settings: dandelionspool::configs::Node| {
        settings.call.divert_unreachable = divert;
        settings.call.attempts = 1;
        settings
    };
    rig::nodes_with(&addresses, 9, &rig::Claims::default(), change).await
}

/// Makes `count` calls that must not run twice, and returns how many were answered.
async fn orders(nodes: &[rig::Node], count: usize) -> usize {
    let calls = (0..count).map(|number| {
        let request = rig::request("POST", "/orders", &format!("order-{number}"));
        rig::call(&nodes[0], request, b"x")
    });
    let answers = futures_util::future::join_all(calls).await;
    answers.iter().filter(|answer| answer.outcome() == "ran").count()
}

/// The upstream is gone, and its node still runs: what that node reports as unreachable was not
/// sent to the upstream.
#[test]
fn a_call_that_the_owner_node_could_not_pass_on_goes_to_another_host() {
    rig::run(async {
        for (divert, least) in [(false, 0), (true, 8)] {
            let fake = fake::Fake::start(fake::echo).await;
            let nodes = single_attempts(divert, &[closed_address(), fake.address]).await;
            let answered = orders(&nodes, 8).await;
            assert!(answered >= least, "{answered} of 8 with replacements: {divert}");
            assert_eq!(fake.requests().len(), answered);
            assert!(divert || answered < 8, "without replacements some must be refused");
        }
    });
}

/// A request that an upstream has read may have run there, whatever became of the connection: a
/// second run would be harm.
#[test]
fn a_call_that_may_have_run_is_not_sent_to_another_host() {
    rig::run(async {
        let cut = fake::Fake::start(|_| vec![fake::Step::Close]).await;
        let other = fake::Fake::start(|_| vec![fake::Step::Close]).await;
        let nodes = single_attempts(true, &[cut.address, other.address]).await;
        assert_eq!(orders(&nodes, 8).await, 0);
        let ran: Vec<_> = (0..8)
            .map(|number| format!("order-{number}"))
            .map(|id| cut.runs(&id) + other.runs(&id))
            .collect();
        assert_eq!(ran, [1; 8]);
    });
}

/// Where no host is left, replacements must not delay the refusal.
#[test]
fn a_call_is_refused_soon_where_its_only_host_is_lost() {
    rig::run(async {
        let mut nodes = single_attempts(true, &[closed_address()]).await;
        let _lost = LostHost::replace(nodes.pop().unwrap()).await;
        let began = time::Instant::now();
        let answer = rig::call(&nodes[0], rig::request("GET", "/browse", "call"), b"").await;
        let took = began.elapsed();
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert_eq!(answer.header("dandelionspool-reason"), "unreachable");
        // Two connection attempts of 250 ms each, of the five seconds that the caller waits.
        assert!(took < time::Duration::from_millis(1500), "{took:?}");
    });
}
