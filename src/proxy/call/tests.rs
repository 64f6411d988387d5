//! Tests of what calls report on hosts to which they had no connection.

use std::cell::RefCell;
use std::net;
use std::rc::Rc;
use std::sync::Arc;

use crate::configs;
use crate::context;
use crate::host;
use crate::mesh;
use crate::pick;
use crate::proxy::attempt;
use crate::proxy::proof;
use crate::proxy::refuse;
use crate::proxy::resources;
use crate::retry;
use crate::rollout;
use crate::view;

const CONFIG: &str = include_str!("../../../tests/calls/mesh.json");

fn host(number: u8) -> host::HostId {
    host::HostId::new(net::SocketAddr::from(([127, 0, 0, number], 7100)))
}

/// How many of 20 calls go to the first of two hosts after an attempt there that `end` has ended.
fn picked_after(end: impl FnOnce(&mut resources::Resources)) -> usize {
    let ctx = context::Context::system();
    let mesh = mesh::check::check(CONFIG.as_bytes()).expect("a configuration");
    let service = mesh.services.iter().position(|s| s.name == "shop").expect("the service");
    let service = mesh::ServiceKey(u16::try_from(service).expect("a key"));
    let target = pick::Target { service, class: None, group: rollout::VersionGroup::Any };
    let upstream = Arc::new(view::Upstream {
        service: "shop".into(),
        class: "shop".into(),
        phase: view::Phase::Serving,
        slots: 9,
        connections: 20,
        incarnation: 0,
        version: Default::default(),
        trial: Default::default(),
    });
    let locality = view::Locality { region: Default::default(), zone: Default::default() };
    let hosts = [1, 2].map(|number| view::Host {
        id: host(number),
        locality: Arc::new(locality.clone()),
        incarnation: 1,
        health: view::Health::Alive,
        upstream: Some(Arc::clone(&upstream)),
    });
    let mut picker = pick::Picker::new(locality, &configs::call::Call::default(), 7);
    picker.rebuild(&view::View::new(hosts.to_vec()), &mesh, ctx.now());
    let picker = Rc::new(RefCell::new(picker));
    let pick = |avoid: &[_]| picker.borrow_mut().pick(target, ctx.now(), avoid).expect("a choice");
    let choice = pick(&[host(2)]);
    assert_eq!(choice.host, host(1));
    let attempt = attempt::Attempt::start(ctx, Rc::clone(&picker), choice);
    let mut resources =
        resources::Resources { attempt: Some(attempt), ..resources::Resources::default() };
    end(&mut resources);
    (0..20).filter(|_| pick(&[]).host == host(1)).count()
}

const UNREACHABLE: retry::Outcome = retry::Outcome::NotRun(retry::Reason::Unreachable);

/// A call with little time left gives up connections that others wait for. If it ejected their
/// hosts, it would take live ones from all calls. It is replaced as after any unreachable host.
#[test]
fn a_connection_that_was_given_up_ejects_no_host() {
    let unreachable = picked_after(|resources| {
        resources.fail_attempt(UNREACHABLE, None);
    });
    assert_eq!(unreachable, 0);
    let given_up = picked_after(|resources| {
        super::remote::report_given_up(resources);
        let outcome = resources.fail_attempt(UNREACHABLE, None);
        assert!(outcome.is_unreachable(), "another attempt replaces it");
    });
    assert!(given_up > 0);
}

/// Guards against a body that ended early and turns what is proven into something else, or what is
/// unknown into something proven.
#[test]
fn a_fault_of_the_body_replaces_the_reason_of_an_unknown_outcome_only() {
    let (full, cut) = (retry::Reason::Full, retry::Reason::Cut);
    let not_run = || refuse::Refusal::unsent(proof::Unsent::fresh(), full);
    let unknown = || refuse::Refusal::unknown(full);
    for (refusal, fault, outcome) in [
        (not_run(), Some(cut), retry::Outcome::NotRun(full)),
        (not_run(), None, retry::Outcome::NotRun(full)),
        (unknown(), Some(cut), retry::Outcome::Unknown(cut)),
        (unknown(), None, retry::Outcome::Unknown(full)),
    ] {
        assert_eq!(super::with_body_fault(refusal, fault).outcome(), outcome);
    }
}
