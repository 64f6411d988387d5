//! Uploads with back pressure. They run in their own process, as its memory is measured.

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

const PIECE_BYTES: usize = 65_536;
const PIECES: usize = 1600;
/// Maximum number of bytes in flight between caller and upstream: the socket buffers of three hops,
/// which the operating system grows to several megabytes, and the HTTP/2 windows between nodes.
const MAX_IN_FLIGHT_BYTES: usize = 30 << 20;

/// Bytes of memory in use by this process.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    text.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * 4096
}

#[test]
fn a_hundred_megabytes_pass_with_back_pressure_and_little_memory() {
    rig::run(async {
        // At most 64 KiB per millisecond, which is far slower than the caller could send.
        let pause = time::Duration::from_millis(1);
        let fake = fake::Fake::start_slow(pause, fake::echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        for (round, entry) in nodes.iter().enumerate() {
            let sent = Rc::new(Cell::new(0));
            let counter = Rc::clone(&sent);
            let pieces = (0..PIECES).map(move |_| {
                counter.set(counter.get() + PIECE_BYTES);
                Ok::<_, convert::Infallible>(Frame::data(Bytes::from_static(&[0; PIECE_BYTES])))
            });
            let body = StreamBody::new(futures_util::stream::iter(pieces));
            let request = rig::request("PUT", "/uploads", &format!("r{round}"));
            let request = request
                .header("content-length", PIECE_BYTES * PIECES)
                .header("dandelionspool-deadline-ms", "60000")
                .body(body)
                .unwrap();
            let before = resident_bytes();
            let watch = async {
                let (mut in_flight, mut grown) = (0, 0);
                while fake.runs(&format!("r{round}")) == 0 {
                    let read = fake.requests().get(round).map_or(0, |s| s.body);
                    in_flight = in_flight.max(sent.get().saturating_sub(read));
                    grown = grown.max(resident_bytes().saturating_sub(before));
                    tokio::time::sleep(time::Duration::from_millis(5)).await;
                }
                (in_flight, grown)
            };
            let (answer, (in_flight, grown)) = tokio::join!(rig::send(entry, request), watch);
            assert_eq!(answer.unwrap().outcome(), "ran");
            assert_eq!(fake.requests()[round].body, PIECE_BYTES * PIECES);
            assert!(
                in_flight < MAX_IN_FLIGHT_BYTES,
                "the caller was {in_flight} bytes ahead of the upstream"
            );
            assert!(grown < 8 << 20, "memory grew by {grown} bytes");
        }
    });
}
