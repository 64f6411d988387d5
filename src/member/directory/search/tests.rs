use std::collections;
use std::convert;
use std::net;
use std::sync::{self, Arc};
use std::time;

use rstest::rstest;
use tokio::sync::watch;
use tokio::task;

use crate::configs;
use crate::host;
use crate::leave;
use crate::member::directory;
use crate::member::directory::search;
use crate::mesh;
use crate::node;
use crate::version;
use crate::view;

const INTERVALS: search::Intervals = search::Intervals {
    refresh: time::Duration::from_secs(10),
    retry: time::Duration::from_millis(200),
};

#[rstest]
#[case::no_failure(0, 10_000)]
#[case::once(1, 200)]
#[case::twice(2, 400)]
#[case::four_times(4, 1600)]
#[case::for_long(40, 1600)]
fn a_directory_that_fails_is_asked_less_often(#[case] failures: u32, #[case] millis: u64) {
    assert_eq!(INTERVALS.wait(failures), time::Duration::from_millis(millis));
}

/// The contents of a directory, and the requests it has received.
#[derive(Debug, Default)]
struct Contents {
    hosts: collections::BTreeMap<host::HostId, directory::Profile>,
    lookups: u32,
    registrations: u32,
}

/// A directory that all hosts of a test share.
#[derive(Clone, Debug, Default)]
struct Shared(Arc<sync::Mutex<Contents>>);

impl Shared {
    fn contents(&self) -> sync::MutexGuard<'_, Contents> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Look-ups and registrations so far.
    fn counts(&self) -> (u32, u32) {
        let contents = self.contents();
        (contents.lookups, contents.registrations)
    }
}

impl directory::Directory for Shared {
    type Error = convert::Infallible;

    fn is_shared(&self) -> bool {
        true
    }

    async fn register(
        &self,
        host: host::HostId,
        profile: &directory::Profile,
    ) -> Result<(), Self::Error> {
        sleep(4).await;
        let mut contents = self.contents();
        contents.registrations += 1;
        contents.hosts.insert(host, profile.clone());
        Ok(())
    }

    async fn hosts(&self) -> Result<Vec<directory::Listed>, Self::Error> {
        sleep(4).await;
        let mut contents = self.contents();
        contents.lookups += 1;
        let listed = |(&host, profile): (&host::HostId, &directory::Profile)| directory::Listed {
            host,
            profile: Some(profile.clone()),
        };
        Ok(contents.hosts.iter().map(listed).collect())
    }

    async fn deregister(&self, host: host::HostId) -> Result<(), Self::Error> {
        self.contents().hosts.remove(&host);
        Ok(())
    }
}

/// A host under test, with the upstream beside it.
struct Host {
    search: search::Search,
    local: watch::Sender<Option<Arc<node::LocalUpstream>>>,
    applied: watch::Sender<Arc<mesh::Applied>>,
    leaves: watch::Sender<Arc<[leave::Leave]>>,
    kept_leaves: watch::Receiver<Arc<[leave::Leave]>>,
}

fn id(last: u8) -> host::HostId {
    host::HostId::new((net::Ipv4Addr::new(10, 0, 0, last), 7100).into())
}

fn upstream(slots: u16, phase: view::Phase) -> Option<Arc<node::LocalUpstream>> {
    let (service, class) = ("shop".into(), "shop".into());
    let upstream = view::Upstream {
        service,
        class,
        phase,
        slots,
        connections: 9,
        incarnation: 1,
        version: Default::default(),
        trial: Default::default(),
    };
    let address = (net::Ipv4Addr::new(10, 0, 0, 1), 80).into();
    Some(Arc::new(node::LocalUpstream { address, instance: "i".into(), born: None, upstream }))
}

/// Starts the search of host `last`, whose upstream has announced itself if `serves`.
fn start(shared: &Shared, last: u8, fresh: bool, serves: bool) -> Host {
    let serving = serves.then(|| upstream(7, view::Phase::Serving)).flatten();
    let (local, receiver) = watch::channel(serving);
    let (applied, running) = watch::channel(Arc::default());
    let (leaves, known) = watch::channel(Arc::default());
    let (kept, kept_leaves) = watch::channel(Arc::default());
    let own = search::LocalHost {
        leaves: known,
        listed_leaves: Vec::new(),
        kept_leaves: kept,
        host: id(last),
        incarnation: 3,
        locality: view::Locality { region: "r".into(), zone: "z".into() },
        local: receiver,
        applied: running,
    };
    let settings = configs::member::Member { fresh, ..configs::member::Member::default() };
    let search = search::Search::start(shared.clone(), own, &settings);
    Host { search, local, applied, leaves, kept_leaves }
}

/// Runs `test`, which may spawn local tasks.
async fn run_local<F: Future<Output = ()>>(test: F) {
    task::LocalSet::new().run_until(test).await;
}

async fn sleep(millis: u64) {
    tokio::time::sleep(time::Duration::from_millis(millis)).await;
}

#[tokio::test(start_paused = true)]
async fn a_host_that_is_listed_with_the_same_profile_does_not_register_again() {
    run_local(async {
        let shared = Shared::default();
        drop({
            let host = start(&shared, 1, true, true);
            sleep(100).await;
            host
        });
        let (lookups, registrations) = shared.counts();
        let mut host = start(&shared, 1, false, true);
        let listed = host.search.next().await;
        sleep(5000).await;
        assert_eq!(listed.len(), 1);
        assert_eq!(shared.counts(), (lookups + 1, registrations));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_mesh_that_starts_for_the_first_time_is_complete_after_one_lookup_of_each() {
    run_local(async {
        let shared = Shared::default();
        let mut hosts: Vec<_> = (0..30).map(|last| start(&shared, last, true, false)).collect();
        sleep(300).await;
        for host in &hosts {
            host.local.send_replace(upstream(7, view::Phase::Warming));
        }
        sleep(1000).await;
        for host in &mut hosts {
            let listed = host.search.next().await;
            let whole = |l: &directory::Listed| {
                l.profile.as_ref().is_some_and(|profile| profile.upstream.is_some())
            };
            assert_eq!(listed.iter().filter(|l| whole(l)).count(), 30);
        }
        assert_eq!(shared.counts(), (30, 30));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn two_hosts_that_look_up_before_either_is_registered_find_each_other() {
    run_local(async {
        let shared = Shared::default();
        let mut hosts = [start(&shared, 1, false, true), start(&shared, 2, false, true)];
        for host in &mut hosts {
            assert_eq!(host.search.next().await, []);
            assert_eq!(host.search.next().await.len(), 2);
        }
    })
    .await;
}

#[rstest]
#[case::another_upstream(upstream(9, view::Phase::Serving), 1)]
#[case::another_phase(upstream(7, view::Phase::Warming), 0)]
#[case::one_that_leaves(upstream(7, view::Phase::Draining), 0)]
#[case::none(None, 0)]
#[tokio::test(start_paused = true)]
async fn a_host_registers_again_when_its_upstream_differs(
    #[case] local: Option<Arc<node::LocalUpstream>>,
    #[case] registrations: u32,
) {
    run_local(async {
        let shared = Shared::default();
        let host = start(&shared, 1, false, true);
        sleep(2000).await;
        let before = shared.contents().registrations;
        host.local.send_replace(local);
        sleep(100).await;
        assert_eq!(shared.contents().registrations - before, registrations);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_host_without_an_upstream_registers_all_the_same() {
    run_local(async {
        let shared = Shared::default();
        let _host = start(&shared, 1, false, false);
        sleep(5000).await;
        assert!(shared.contents().hosts.contains_key(&id(1)));
    })
    .await;
}

/// Makes `host` run a configuration that was read in `epoch`.
fn apply_epoch(host: &Host, epoch: u64) {
    let version = version::Version::assigned(3, crate::logs::ordinal(epoch, 4));
    let version_id = version::VersionId { version, ..Default::default() };
    host.applied.send_replace(Arc::new(mesh::Applied { version_id, ..Default::default() }));
}

/// Guards against hosts that the directory has lost and that hosts which start later never find.
#[tokio::test(start_paused = true)]
async fn hosts_that_the_directory_has_lost_register_again() {
    run_local(async {
        let shared = Shared::default();
        let hosts: Vec<Host> = (1..=6).map(|last| start(&shared, last, true, true)).collect();
        sleep(1_000).await;
        assert_eq!(shared.contents().hosts.len(), 6);
        let (lookups, registrations) = shared.counts();
        for epoch in 1..=2 {
            shared.contents().hosts.retain(|host, _| *host == id(1));
            hosts.iter().for_each(|host| apply_epoch(host, epoch));
            sleep(2_100).await;
            assert_eq!(shared.contents().hosts.len(), 6, "all are listed");
            hosts.iter().for_each(|host| apply_epoch(host, epoch));
            sleep(2_100).await;
        }
        assert_eq!(shared.counts(), (lookups, registrations + 12), "one call of each an epoch");
    })
    .await;
}

/// A host that joins a running mesh costs the directory one look-up and one registration: its
/// look-ups grow with the mesh, and so do the starts.
#[tokio::test(start_paused = true)]
async fn a_host_that_finds_others_does_not_look_again() {
    run_local(async {
        let shared = Shared::default();
        let _mesh: Vec<_> = (1..=20).map(|last| start(&shared, last, true, true)).collect();
        sleep(1000).await;
        let (lookups, registrations) = shared.counts();
        let _host = start(&shared, 21, false, true);
        sleep(5000).await;
        assert_eq!(shared.counts(), (lookups + 1, registrations + 1));
    })
    .await;
}

fn leave(instance: &str) -> leave::Leave {
    let instance = leave::InstanceHash::of(&instance.into()).expect("a name");
    leave::Leave { instance, born: None, sequence: leave::Leave::FINAL }
}

/// Guards against an acknowledged leaving that is lost when all nodes end at once: only the
/// directory still knows it then, and a process that starts must not overwrite it before it has
/// read it.
#[tokio::test(start_paused = true)]
async fn a_leaving_is_registered_at_once_and_kept_by_the_next_process() {
    run_local(async {
        let shared = Shared::default();
        let host = start(&shared, 1, true, true);
        sleep(5000).await;
        let (_, before) = shared.counts();
        host.leaves.send_replace([leave("i")].into());
        host.local.send_replace(None);
        sleep(100).await;
        assert_eq!(shared.counts().1, before + 1, "one request a leaving");
        assert_eq!(**host.kept_leaves.borrow(), [leave("i")], "reported once it is kept");
        drop(host);
        let mut host = start(&shared, 1, false, true);
        let listed = host.search.next().await;
        let profile = listed[0].profile.clone().expect("a profile");
        assert_eq!(profile.leaves, [leave("i")]);
        sleep(10_000).await;
        assert_eq!(host.search.next().await[0].profile.as_ref().map(|p| p.leaves.len()), Some(1));
    })
    .await;
}
