//! Uploads with back pressure, in a process of their own, as its memory is measured.

#![allow(dead_code)]

#[path = "calls/fake.rs"]
mod fake;
#[path = "calls/rig.rs"]
mod rig;

use std::cell::Cell;
use std::convert;
use std::rc::Rc;
use std::time;

use bytes::Bytes;
use http_body_util::StreamBody;
use hyper::body::Frame;

const PIECE: usize = 65_536;
const PIECES: usize = 1600;
/// What may be under way between caller and upstream: the buffers of the sockets of three hops,
/// which the operating system grows to several megabytes, and the windows between nodes.
const UNDER_WAY: usize = 30 << 20;

/// Bytes of memory in use by this process.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    text.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * 4096
}

#[test]
fn a_hundred_megabytes_pass_with_back_pressure_and_little_memory() {
    rig::run(async {
        // 64 KiB a millisecond at most: far slower than the caller could send.
        let pause = time::Duration::from_millis(1);
        let fake = fake::Fake::slow(pause, fake::echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        for (round, entry) in nodes.iter().enumerate() {
            let sent = Rc::new(Cell::new(0));
            let counter = Rc::clone(&sent);
            let pieces = (0..PIECES).map(move |_| {
                counter.set(counter.get() + PIECE);
                Ok::<_, convert::Infallible>(Frame::data(Bytes::from_static(&[0; PIECE])))
            });
            let body = StreamBody::new(futures_util::stream::iter(pieces));
            let request = rig::request("PUT", "/uploads", &format!("r{round}"));
            let request = request
                .header("content-length", PIECE * PIECES)
                .header("dandelionspool-deadline-ms", "60000")
                .body(body)
                .unwrap();
            let before = resident();
            let watch = async {
                let (mut lead, mut grown) = (0, 0);
                while fake.runs(&format!("r{round}")) == 0 {
                    let read = fake.seen().get(round).map_or(0, |s| s.body);
                    lead = lead.max(sent.get().saturating_sub(read));
                    grown = grown.max(resident().saturating_sub(before));
                    tokio::time::sleep(time::Duration::from_millis(5)).await;
                }
                (lead, grown)
            };
            let (answer, (lead, grown)) = tokio::join!(rig::send(entry, request), watch);
            assert_eq!(answer.unwrap().outcome(), "ran");
            assert_eq!(fake.seen()[round].body, PIECE * PIECES);
            assert!(lead < UNDER_WAY, "the caller was {lead} bytes ahead of the upstream");
            assert!(grown < 8 << 20, "memory grew by {grown} bytes");
        }
    });
}
