//! Answers that are late, cut off, duplicated, slow or long, and answers to another call.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time;

use rstest::rstest;

use crate::fake;
use crate::fake::Step;
use crate::rig;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n";

/// An order is not idempotent, so it must not be tried again after any of these answers.
#[rstest]
#[case::cut_by_length(b"content-length: 20\r\n\r\nhalf", "cut")]
#[case::cut_in_a_chunk(b"transfer-encoding: chunked\r\n\r\n14\r\nhalf", "cut")]
#[case::cut_after_a_chunk(b"transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n", "cut")]
#[case::cut_in_the_head(b"content-length: 20\r\nx-ha", "cut")]
#[case::neither_length_nor_chunks(b"transfer-encoding: gzip\r\n\r\nhalf", "malformed")]
#[case::chunks_within(b"transfer-encoding: chunked, gzip\r\n\r\n4\r\nhalf", "malformed")]
#[case::without_a_marked_end(b"\r\nwhole or half, who knows", "malformed")]
#[case::for_another_call(b"x-request-id: r0\r\ncontent-length: 4\r\n\r\nr0!!", "malformed")]
#[case::two_lengths(b"content-length: 4\r\ncontent-length: 2\r\n\r\nhalf", "cut")]
fn a_broken_answer_is_never_passed_on_as_complete(
    #[case] rest: &'static [u8],
    #[case] reason: &str,
) {
    rig::run(async {
        let script = move |_: &fake::Request| vec![Step::Write([HEAD, rest].concat()), Step::Close];
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        for entry in &nodes {
            let answer = rig::call(entry, rig::request("POST", "/orders", "r1"), b"x").await;
            assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
            assert_eq!(answer.header("dandelionspool-reason"), reason);
            assert_eq!(answer.text(), reason);
        }
        assert_eq!(fake.runs("r1"), 2, "one run for each call");
    });
}

#[test]
fn an_idempotent_call_survives_a_cut_answer() {
    rig::run(async {
        let broken = Cell::new(false);
        let script = move |request: &fake::Request| {
            if broken.replace(true) { fake::echo(request) } else { vec![Step::Close] }
        };
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let answer = rig::call(&nodes[0], rig::request("GET", "/browse", "r1"), b"").await;
        assert_eq!((answer.outcome(), answer.text()), ("ran", "answer to r1"));
        assert_eq!(fake.requests()[1].header("dandelionspool-attempt"), "2");
    });
}

#[test]
fn a_long_answer_that_is_cut_ends_in_an_error_the_caller_sees() {
    for head in ["content-length: 1000000\r\n\r\n", "transfer-encoding: chunked\r\n\r\nf4240\r\n"] {
        rig::run(async {
            let script = move |_: &fake::Request| {
                let mut bytes = [HEAD, head.as_bytes()].concat();
                bytes.extend_from_slice(&[b'x'; 500_000]);
                vec![Step::Write(bytes), Step::Close]
            };
            let fake = fake::Fake::start(script).await;
            let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
            for entry in &nodes {
                let answer = rig::call(entry, rig::request("GET", "/browse", "r1"), b"").await;
                assert_eq!(answer.status, 200);
                assert!(answer.body.is_none(), "the caller took half an answer for a complete one");
            }
        });
    }
}

#[test]
fn a_long_answer_streams_whole() {
    rig::run(async {
        let text = "0123456789".repeat(300_000);
        let complete = fake::answer(&text);
        let fake = fake::Fake::start(move |_| vec![Step::Write(complete.clone())]).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        for entry in &nodes {
            let answer = rig::call(entry, rig::request("GET", "/browse", "r1"), b"").await;
            assert_eq!((answer.outcome(), answer.header("content-length")), ("ran", "3000000"));
            assert!(answer.text() == text);
        }
    });
}

#[test]
fn a_trickled_answer_comes_whole() {
    rig::run(async {
        let script = |_: &fake::Request| {
            let bytes = fake::answer("drop by drop");
            let step = |b: &u8| [Step::Write(vec![*b]), Step::Wait(time::Duration::from_millis(1))];
            bytes.iter().flat_map(step).collect()
        };
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let answer = rig::call(&nodes[0], rig::request("GET", "/browse", "r1"), b"").await;
        assert_eq!(answer.text(), "drop by drop");
    });
}

#[test]
fn a_late_answer_is_unknown_and_its_connection_is_not_used_again() {
    rig::run(async {
        let script = |request: &fake::Request| match request.header("x-request-id").as_str() {
            "late0" | "late1" => vec![
                Step::Wait(time::Duration::from_millis(400)),
                Step::Write(fake::answer("too late")),
            ],
            _ => fake::echo(request),
        };
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        for (number, entry) in nodes.iter().enumerate() {
            let late = rig::request("POST", "/orders", &format!("late{number}"));
            let late = late.header("dandelionspool-deadline-ms", "100");
            let answer = rig::call(entry, late, b"").await;
            assert_eq!((answer.status, answer.outcome()), (504, "unknown"));
            assert_eq!(answer.header("dandelionspool-reason"), "timeout");
            let answer = rig::call(entry, rig::request("POST", "/orders", "next"), b"").await;
            assert_eq!(answer.text(), "answer to next");
            let requests = fake.requests();
            let [.., late, next] = requests.as_slice() else { panic!("{requests:?}") };
            assert_ne!(late.conn, next.conn);
        }
    });
}

#[test]
fn a_doubled_answer_reaches_no_other_call() {
    rig::run(async {
        let script = |request: &fake::Request| {
            let one = fake::answer(&format!("answer to {}", request.header("x-request-id")));
            vec![Step::Write([one.clone(), one].concat())]
        };
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        for number in 0..20 {
            let id = format!("r{number}");
            let answer = rig::call(&nodes[0], rig::request("GET", "/browse", &id), b"").await;
            assert_eq!(answer.text(), format!("answer to {id}"));
        }
    });
}

#[test]
fn a_connection_the_upstream_has_closed_is_not_used_for_a_call() {
    rig::run(async {
        let script = |request: &fake::Request| [fake::echo(request), vec![Step::Close]].concat();
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        for number in 0..50 {
            let id = format!("r{number}");
            let answer = rig::call(&nodes[0], rig::request("POST", "/orders", &id), b"").await;
            assert_eq!((answer.outcome(), fake.runs(&id)), ("ran", 1));
        }
    });
}

/// A shed answer costs a connection if it bears no id. With one, only another attempt of the same
/// call costs one.
#[rstest]
#[case::with_its_id(true)]
#[case::without_an_id(false)]
fn a_call_that_the_upstream_shed_is_tried_again_and_may_end_as_not_run(#[case] echoes: bool) {
    rig::run(async {
        let sheds = Rc::<Cell<usize>>::default();
        let count = Rc::clone(&sheds);
        let script = move |request: &fake::Request| {
            let id = request.header("x-request-id");
            let echo = if echoes { format!("x-request-id: {id}\r\n") } else { String::new() };
            let shed = format!(
                "HTTP/1.1 503 Service Unavailable\r\ndandelionspool-upstream: shed\r\n\
                 {echo}content-length: 0\r\n\r\n"
            );
            if count.get() > 0 && !id.starts_with("always") {
                return fake::echo(request);
            }
            count.set(count.get() + 1);
            vec![Step::Write(shed.into())]
        };
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let answer = rig::call(&nodes[0], rig::request("POST", "/orders", "once"), b"").await;
        assert_eq!((answer.outcome(), answer.text()), ("ran", "answer to once"));
        for number in 0..5 {
            let order = rig::request("POST", "/orders", &format!("always{number}"));
            let answer = rig::call(&nodes[0], order, b"").await;
            assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
            assert_eq!(answer.header("dandelionspool-reason"), "upstream-shed");
            assert!(!answer.header("retry-after").is_empty());
        }
        let (attempts, calls) = (fake.requests().len(), 6);
        assert!(attempts > calls + 1, "no call was tried again");
        let conns = if echoes { 1 + attempts - calls } else { sheds.get() };
        assert_eq!(fake.conns(), conns, "{attempts} attempts, {} sheds", sheds.get());
    });
}

/// The first attempt may have run, and the second one did not run: the outcome of the call is
/// unknown.
#[test]
fn a_call_that_may_have_run_is_not_answered_as_not_run() {
    rig::run(async {
        let tries = Cell::new(0);
        let script = move |_: &fake::Request| {
            let shed = "HTTP/1.1 503 Service Unavailable\r\ndandelionspool-upstream: shed\r\n\
                        content-length: 0\r\n\r\n";
            match tries.replace(tries.get() + 1) {
                0 => vec![Step::Close],
                _ => vec![Step::Write(shed.into())],
            }
        };
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let answer = rig::call(&nodes[0], rig::request("GET", "/browse", "r1"), b"").await;
        assert!(fake.runs("r1") > 1, "it was tried again");
        assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
    });
}

#[test]
fn headers_of_the_mesh_in_an_upstreams_answer_are_removed() {
    rig::run(async {
        let script = |_: &fake::Request| {
            let text = "HTTP/1.1 503 Service Unavailable\r\ndandelionspool-outcome: not-run\r\n\
                        connection: x-hop\r\nx-hop: 1\r\nx-kept: 1\r\ncontent-length: 4\r\n\r\nbusy";
            vec![Step::Write(text.into())]
        };
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        for entry in &nodes {
            let answer = rig::call(entry, rig::request("POST", "/orders", "r1"), b"").await;
            assert_eq!((answer.status, answer.outcome(), answer.text()), (503, "ran", "busy"));
            assert_eq!((answer.header("x-hop"), answer.header("x-kept")), ("", "1"));
        }
    });
}

/// An upstream that sheds every other request of a connection and, when the next one has arrived,
/// sends that answer once more before the true one. `last` has the rejections to send again, and
/// `ran` the requests that have run.
fn late_rejections(
    request: &fake::Request,
    last: &RefCell<HashMap<usize, Vec<u8>>>,
    ran: &RefCell<Vec<String>>,
) -> Vec<Step> {
    let id = request.header("x-request-id");
    let Some(mut run) = last.borrow_mut().remove(&request.conn) else {
        let shed = format!(
            "HTTP/1.1 503 Service Unavailable\r\ndandelionspool-upstream: shed\r\n\
             x-request-id: {id}\r\ncontent-length: 0\r\n\r\n"
        );
        last.borrow_mut().insert(request.conn, shed.clone().into_bytes());
        return vec![Step::Write(shed.into_bytes())];
    };
    ran.borrow_mut().push(id.clone());
    run.extend(fake::answer(&format!("answer to {id}")));
    vec![Step::Write(run)]
}

/// Guards against believing a rejection that bears the id of another request: the order that waits
/// runs twice, or its caller is told that it has not run.
#[test]
fn a_late_rejection_of_another_call_neither_repeats_nor_refuses_a_call_that_runs() {
    rig::run(async {
        let last = RefCell::default();
        let ran = Rc::<RefCell<Vec<String>>>::default();
        let record = Rc::clone(&ran);
        let script = move |request: &fake::Request| late_rejections(request, &last, &record);
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let runs = |id: &str| ran.borrow().iter().filter(|ran| *ran == id).count();
        for number in 0..40 {
            let id = format!("r{number}");
            let request = rig::request("POST", "/orders", &id);
            let answer = rig::call(&nodes[number % 2], request, b"").await;
            assert!(runs(&id) <= 1, "{id} ran {} times", runs(&id));
            assert_eq!(runs(&id) == 0, answer.outcome() == "not-run", "{id}: {answer:?}");
        }
        assert!(!ran.borrow().is_empty(), "no call has run");
    });
}

/// Guards against a slot and a caller that wait for the body of a rejection, whose outcome is known
/// from its head.
#[test]
fn a_rejection_without_an_end_is_retried_at_once() {
    rig::run(async {
        let sheds = Cell::new(0);
        let script = move |request: &fake::Request| {
            if sheds.replace(sheds.get() + 1) > 0 {
                return fake::echo(request);
            }
            let head = "HTTP/1.1 503 Service Unavailable\r\ndandelionspool-upstream: shed\r\n\
                        content-length: 100\r\n\r\n";
            vec![Step::Write(head.into()), Step::AwaitClose]
        };
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let began = time::Instant::now();
        let order = rig::request("POST", "/orders", "r1");
        let order = order.header("dandelionspool-deadline-ms", "2000");
        let answer = rig::call(&nodes[0], order, b"").await;
        assert_eq!((answer.outcome(), answer.text()), ("ran", "answer to r1"));
        assert!(began.elapsed() < time::Duration::from_secs(1), "{:?}", began.elapsed());
        rig::until(|| fake.requests()[0].closed).await;
    });
}

/// Guards against a status that no caller understands, passed on as the answer of the upstream. The
/// request may have run.
#[rstest]
#[case::zero("000")]
#[case::too_low("099")]
#[case::too_high("600")]
#[case::highest("999")]
#[case::four_digits("2000")]
#[case::two_digits("20")]
#[case::none("")]
#[case::letters("2xx")]
#[case::not_asked_for("101")]
fn an_answer_without_a_valid_status_is_unknown(#[case] status: &str) {
    let status = status.to_owned();
    rig::run(async move {
        let answer = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 4\r\n\r\ndone");
        let script = move |_: &fake::Request| vec![Step::Write(answer.clone().into()), Step::Close];
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        for entry in &nodes {
            let answer = rig::call(entry, rig::request("POST", "/orders", "r1"), b"x").await;
            assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
        }
        assert_eq!(fake.runs("r1"), 2, "one run for each call");
    });
}

/// Guards against a part of an answer that is taken for the whole: it came without a length while
/// the upload was still written, and its connection was reset.
#[rstest]
#[case::without_a_length("\r\nhalf of the answer")]
#[case::of_a_length("content-length: 1000\r\n\r\nhalf of the answer")]
#[case::in_chunks("transfer-encoding: chunked\r\n\r\n12\r\nhalf of the answer\r\n")]
fn an_early_answer_that_is_reset_during_the_upload_does_not_look_whole(#[case] rest: &'static str) {
    rig::run(async {
        let pause = time::Duration::from_millis(20);
        let early = move |_: &fake::Request| {
            let bytes = [HEAD, rest.as_bytes()].concat();
            Some(vec![Step::Write(bytes), Step::Wait(time::Duration::from_millis(50)), Step::Close])
        };
        let fake = fake::Fake::start_early(pause, early, fake::echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let body = vec![b'x'; 4_000_000];
        for entry in &nodes {
            let answer = rig::call(entry, rig::request("PUT", "/uploads", "r1"), &body).await;
            assert_eq!((answer.status, answer.outcome()), (502, "unknown"), "{answer:?}");
        }
    });
}
