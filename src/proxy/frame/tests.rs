use proptest::prelude::*;
use rstest::rstest;

use crate::proxy::frame;

const LIMITS: frame::Limits = frame::Limits { head: 256, fields: 8 };

/// Lengths of the requests in `bytes`, which arrive in pieces of at most `piece` bytes.
fn request_lengths(bytes: &[u8], piece: usize) -> Result<Vec<usize>, frame::Fault> {
    let mut framer = frame::Framer::new(LIMITS);
    let (mut lengths, mut length) = (Vec::new(), 0);
    let (mut taken, mut seen) = (0, 0);
    while seen < bytes.len() {
        seen = (seen + piece).min(bytes.len());
        while taken < seen {
            let step = framer.step(&bytes[taken..seen])?;
            if step.bytes == 0 {
                break;
            }
            taken += step.bytes;
            length += step.bytes;
            if step.end {
                lengths.push(std::mem::take(&mut length));
            }
        }
    }
    Ok(lengths)
}

const GET: &str = "GET /a HTTP/1.1\r\nhost: a\r\n\r\n";
const SIZED: &str = "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello";
const CHUNKED: &str = "POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
                       5;x=y\r\nhello\r\n0\r\ntrailer: t\r\n\r\n";

#[rstest]
#[case::one(&[GET])]
#[case::pipelined(&[GET, GET, GET])]
#[case::sized(&[SIZED, GET])]
#[case::chunked(&[CHUNKED, SIZED, CHUNKED])]
#[case::empty_body(&["POST / HTTP/1.1\r\ncontent-length: 0\r\n\r\n", GET])]
fn requests_are_found_however_their_bytes_arrive(#[case] requests: &[&str]) {
    let bytes = requests.concat();
    let wanted: Vec<usize> = requests.iter().map(|r| r.len()).collect();
    for piece in [1, 2, 3, 7, 50, bytes.len()] {
        assert_eq!(
            request_lengths(bytes.as_bytes(), piece).as_deref(),
            Ok(&wanted[..]),
            "pieces of {piece}"
        );
    }
}

#[rstest]
#[case::length_and_coding("content-length: 5\r\ntransfer-encoding: chunked")]
#[case::two_lengths("content-length: 5\r\ncontent-length: 6")]
#[case::same_length_twice("content-length: 5\r\ncontent-length: 5")]
#[case::list_of_lengths("content-length: 5, 5")]
#[case::signed_length("content-length: +5")]
#[case::empty_length("content-length:")]
#[case::huge_length("content-length: 99999999999999999999")]
#[case::other_coding("transfer-encoding: gzip, chunked")]
#[case::two_codings("transfer-encoding: chunked\r\ntransfer-encoding: chunked")]
#[case::space_before_colon("content-length : 5")]
#[case::folded("x: a\r\n content-length: 5")]
fn a_body_of_ambiguous_length_is_refused(#[case] fields: &str) {
    let bytes = format!("POST /a HTTP/1.1\r\nhost: a\r\n{fields}\r\n\r\nhello");
    assert_eq!(request_lengths(bytes.as_bytes(), bytes.len()), Err(frame::Fault::Malformed));
}

#[rstest]
#[case::no_size("\r\nhello")]
#[case::bare_feed("5\nhello")]
#[case::space_before_size(" 5\r\nhello")]
#[case::space_after_size("5 \r\nhello")]
#[case::signed_size("+5\r\nhello")]
#[case::huge_size("ffffffffffffffff\r\nhello")]
fn a_chunk_of_invalid_size_is_refused(#[case] chunk: &str) {
    let bytes = format!("POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n{chunk}");
    assert_eq!(request_lengths(bytes.as_bytes(), bytes.len()), Err(frame::Fault::Malformed));
}

#[rstest]
#[case::no_request("hello\r\n\r\n", frame::Fault::Malformed)]
#[case::tunnel("CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n", frame::Fault::Malformed)]
#[case::chunked_in_http_1_0(
    "POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    frame::Fault::Malformed
)]
fn bytes_that_are_no_request_are_refused(#[case] bytes: &str, #[case] fault: frame::Fault) {
    assert_eq!(request_lengths(bytes.as_bytes(), bytes.len()), Err(fault));
}

#[rstest]
#[case::at_once(300)]
#[case::by_the_byte(1)]
fn a_head_over_the_size_limit_is_refused(#[case] piece: usize) {
    let bytes = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(LIMITS.head));
    assert_eq!(request_lengths(bytes.as_bytes(), piece), Err(frame::Fault::TooLarge));
}

#[test]
fn a_head_with_too_many_fields_is_refused() {
    let bytes = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(LIMITS.fields + 1));
    assert_eq!(request_lengths(bytes.as_bytes(), bytes.len()), Err(frame::Fault::TooLarge));
}

#[rstest]
#[case::kept("HTTP/1.1\r\n", false)]
#[case::close("HTTP/1.1\r\nconnection: Close\r\n", true)]
#[case::close_among_others("HTTP/1.1\r\nconnection: te, close\r\n", true)]
#[case::keep_alive("HTTP/1.1\r\nconnection: keep-alive\r\n", false)]
#[case::http_1_0("HTTP/1.0\r\n", true)]
fn a_request_to_close_the_connection_is_recognised(#[case] rest: &str, #[case] close: bool) {
    let bytes = format!("GET / {rest}\r\n");
    let step = frame::Framer::new(LIMITS).step(bytes.as_bytes()).expect("a request");
    assert_eq!(step.head, Some(frame::Head { close }));
}

proptest! {
    #[test]
    fn any_bytes_are_parsed_or_refused(bytes: Vec<u8>, piece in 1usize..64) {
        if let Ok(lengths) = request_lengths(&bytes, piece) {
            prop_assert!(lengths.iter().sum::<usize>() <= bytes.len());
        }
    }

    #[test]
    fn the_pieces_do_not_matter(
        body in "[a-z]{0,40}",
        tail in "(GET / HTTP/1.1\r\n\r\n){0,3}|[ -~\r\n]{0,60}",
        piece in 1usize..64,
    ) {
        let length = body.len();
        let bytes = format!("POST / HTTP/1.1\r\ncontent-length: {length}\r\n\r\n{body}{tail}");
        let at_once = request_lengths(bytes.as_bytes(), bytes.len());
        prop_assert_eq!(request_lengths(bytes.as_bytes(), piece), at_once);
    }
}
