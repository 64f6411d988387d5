//! Answers that an upstream sends once more: what the caller is told against what the upstream ran.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::fake;
use crate::fake::Step;
use crate::rig;

/// An answer of the project's own dialect that says that the request was not run. `id` is left out
/// if it is empty.
fn rejection(id: &str) -> Vec<u8> {
    let echo = if id.is_empty() { String::new() } else { format!("x-request-id: {id}\r\n") };
    let head = "HTTP/1.1 503 Service Unavailable\r\ndandelionspool-upstream: shed\r\n";
    format!("{head}{echo}content-length: 0\r\n\r\n").into_bytes()
}

/// The answer to a request that ran.
fn success(id: &str) -> Vec<u8> {
    let echo = if id.is_empty() { String::new() } else { format!("x-request-id: {id}\r\n") };
    format!("HTTP/1.1 200 OK\r\n{echo}content-length: 4\r\n\r\ndone").into_bytes()
}

/// An upstream that rejects all requests while `sheds` is set, and runs them otherwise.
#[derive(Debug, Default)]
struct Upstream {
    sheds: Cell<bool>,
    /// Ids of the requests that ran, in order.
    ran: RefCell<Vec<String>>,
}

impl Upstream {
    fn runs(&self, id: &str) -> usize {
        self.ran.borrow().iter().filter(|ran| *ran == id).count()
    }
}

/// Starts an upstream that sends `copy` of the id of each request before the true answer, once it
/// runs requests.
async fn start(
    upstream: &Rc<Upstream>,
    echo: impl Fn(&str) -> String + 'static,
) -> (fake::Fake, Vec<rig::Node>) {
    let shared = Rc::clone(upstream);
    let rejected = RefCell::new(std::collections::HashMap::<usize, Vec<Vec<u8>>>::new());
    let script = move |request: &fake::Request| {
        let id = request.header("x-request-id");
        let mut rejected = rejected.borrow_mut();
        if shared.sheds.get() {
            let answer = rejection(&echo(&id));
            rejected.entry(request.conn).or_default().push(answer.clone());
            return vec![Step::Write(answer)];
        }
        let mut bytes = Vec::new();
        // Copies of rejections that bear the id of this request, or none.
        for copy in rejected.get(&request.conn).into_iter().flatten() {
            if *copy == rejection(&id) || *copy == rejection("") {
                bytes.clone_from(copy);
            }
        }
        shared.ran.borrow_mut().push(id.clone());
        bytes.extend(success(&echo(&id)));
        vec![Step::Write(bytes)]
    };
    let fake = fake::Fake::start(script).await;
    let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
    (fake, nodes)
}

/// Guards against believing a copy of a rejection that bears the right id, as the request has come
/// back to the connection after another one: an order runs twice, or its caller is told that it has
/// not run.
#[test]
fn a_request_never_returns_to_a_connection_that_has_rejected_it() {
    rig::run(async {
        let upstream = Rc::<Upstream>::default();
        let (_fake, nodes) = start(&upstream, str::to_owned).await;
        for entry in &nodes {
            upstream.sheds.set(true);
            for id in ["a", "b", "c"] {
                let answer = rig::call(entry, rig::request("POST", "/orders", id), b"").await;
                assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
            }
            upstream.sheds.set(false);
            for id in ["between", "a", "b", "c"] {
                let before = upstream.runs(id);
                let answer = rig::call(entry, rig::request("POST", "/orders", id), b"").await;
                let runs = upstream.runs(id) - before;
                assert_eq!((answer.outcome(), runs), ("ran", 1), "{id}");
            }
        }
    });
}

/// Guards against believing a copy of a rejection that bears no id: it belongs to any request that
/// its connection carries next.
#[test]
fn a_connection_that_rejected_a_request_without_its_id_is_not_used_again() {
    rig::run(async {
        let upstream = Rc::<Upstream>::default();
        let (_fake, nodes) = start(&upstream, |_| String::new()).await;
        for (number, entry) in nodes.iter().enumerate() {
            upstream.sheds.set(true);
            let id = format!("rejected{number}");
            let answer = rig::call(entry, rig::request("POST", "/orders", &id), b"").await;
            assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
            upstream.sheds.set(false);
            for id in [format!("next{number}"), id] {
                let answer = rig::call(entry, rig::request("POST", "/orders", &id), b"").await;
                assert_eq!((answer.outcome(), upstream.runs(&id)), ("ran", 1), "{id}");
            }
        }
    });
}
