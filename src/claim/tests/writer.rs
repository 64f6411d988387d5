//! Tests of one writer, step by step.

use std::time;

use bytes::Bytes;

use super::{attempt, entry, key};
use crate::claim;
use crate::claim::event::{Action, Answer, End, Event, Limits, Ticket, Token};
use crate::claim::record::{Entry, Op};
use crate::claim::writer::Writer;
use crate::clock;
use crate::logs;

const LIMITS: Limits = Limits {
    append_interval: time::Duration::from_millis(20),
    window: time::Duration::from_secs(60),
    append_timeout: time::Duration::from_millis(500),
    max_waiting: 100,
};

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

fn ask(token: u64, entry: Entry, deadline: u64) -> Event {
    Event::Ask { token: Token(token), entry, deadline: at(deadline) }
}

fn batch(first: u64, bodies: &[Bytes]) -> Event {
    batch_of(0, first, bodies)
}

fn batch_of(epoch: logs::Epoch, first: u64, bodies: &[Bytes]) -> Event {
    let record = |(offset, body): (u64, &Bytes)| logs::Record {
        offset,
        unix_millis: 1000 + offset,
        body: body.clone(),
    };
    let records: Vec<_> = (first..).zip(bodies).map(record).collect();
    let next = first + bodies.len() as u64;
    Event::Read(Some(logs::Batch { epoch, first: 0, next, records }))
}

/// A writer that has read its empty stream.
fn current() -> Writer {
    let mut writer = Writer::new(LIMITS);
    writer.handle(Event::Tick, at(100));
    writer.handle(batch(0, &[]), at(100));
    writer.handle(batch(0, &[]), at(100));
    assert!(writer.current());
    writer
}

fn appends(actions: &[Action]) -> Vec<(Ticket, Bytes)> {
    let append = |action: &Action| match action {
        Action::Append(ticket, body) => Some((*ticket, body.clone())),
        _ => None,
    };
    actions.iter().filter_map(append).collect()
}

fn answers(actions: &[Action]) -> Vec<(u64, Answer)> {
    let answer = |action: &Action| match action {
        Action::Answer(token, answer) => Some((token.0, *answer)),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}

#[test]
fn nothing_is_answered_before_it_is_read_back() {
    let mut writer = current();
    let actions = writer.handle(ask(1, entry(Op::Claim, 1, 1), 9000), at(101));
    let sent = appends(&actions);
    assert_eq!((sent.len(), answers(&actions).len()), (1, 0));
    let done = Event::Appended { ticket: sent[0].0, end: End::Done };
    assert_eq!(answers(&writer.handle(done, at(102))), []);
    let actions = writer.handle(batch(0, &[sent[0].1.clone()]), at(103));
    assert_eq!(answers(&actions), [(1, Answer::Claimed(claim::Verdict::First))]);
}

#[test]
fn claims_share_appends() {
    let mut writer = current();
    let first = appends(&writer.handle(ask(0, entry(Op::Claim, 0, 0), 9000), at(101)));
    for n in 1..50 {
        let actions = writer.handle(ask(n, entry(Op::Claim, n as u8, n), 9000), at(102));
        assert_eq!(appends(&actions), []);
    }
    let actions = writer.handle(batch(0, &[first[0].1.clone()]), at(110));
    assert_eq!(appends(&actions), [], "the next append waits for its time");
    let actions = writer.handle(Event::Tick, at(121));
    let second = appends(&actions);
    assert_eq!(second.len(), 1);
    let actions = writer.handle(batch(1, &[second[0].1.clone()]), at(125));
    assert_eq!(answers(&actions).len(), 49);
}

#[test]
fn another_writer_that_was_first_in_the_log_wins() {
    let mut writer = current();
    let mine = appends(&writer.handle(ask(1, entry(Op::Claim, 1, 1), 9000), at(101)));
    let theirs = Entry { key: key(1), attempt: attempt(2, 7), op: Op::Claim };
    let theirs = claim::record::encode(&[theirs]);
    let actions = writer.handle(batch(0, &[theirs, mine[0].1.clone()]), at(102));
    let taken = claim::Verdict::Taken(attempt(2, 7));
    assert_eq!(answers(&actions), [(1, Answer::Claimed(taken))]);
    let again = writer.handle(ask(2, entry(Op::Claim, 1, 9), 9000), at(103));
    assert_eq!(answers(&again), [(2, Answer::Claimed(taken))]);
    assert_eq!(appends(&again), [], "what is known needs no append");
}

#[test]
fn a_lost_answer_is_resolved_by_reading() {
    let mut writer = current();
    let sent = appends(&writer.handle(ask(1, entry(Op::Claim, 1, 1), 9000), at(101)));
    let lost = Event::Appended { ticket: sent[0].0, end: End::Unknown };
    assert_eq!(answers(&writer.handle(lost, at(102))), []);
    let actions = writer.handle(batch(0, &[sent[0].1.clone()]), at(103));
    assert_eq!(answers(&actions), [(1, Answer::Claimed(claim::Verdict::First))]);
    assert_eq!(appends(&writer.handle(Event::Tick, at(200))), [], "not written twice");
}

#[test]
fn an_append_that_did_not_happen_is_made_again() {
    let mut writer = current();
    let sent = appends(&writer.handle(ask(1, entry(Op::Claim, 1, 1), 9000), at(101)));
    writer.handle(Event::Appended { ticket: sent[0].0, end: End::Unknown }, at(102));
    let again = appends(&writer.handle(Event::Tick, at(150)));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1, sent[0].1);
}

#[test]
fn an_outage_is_refused_at_once_and_ends() {
    let mut writer = current();
    let sent = appends(&writer.handle(ask(1, entry(Op::Claim, 1, 1), 9000), at(101)));
    writer.handle(Event::Appended { ticket: sent[0].0, end: End::Refused }, at(102));
    let again = appends(&writer.handle(Event::Tick, at(125)));
    let refused = Event::Appended { ticket: again[0].0, end: End::Refused };
    let actions = writer.handle(refused, at(126));
    let retry_after = time::Duration::from_millis(250);
    let error = claim::Error::Unavailable { retry_after };
    assert_eq!(answers(&actions), [(1, Answer::Failed { error, written: false })]);
    let actions = writer.handle(ask(2, entry(Op::Claim, 2, 2), 9000), at(127));
    assert!(matches!(answers(&actions)[..], [(2, Answer::Failed { .. })]), "{actions:?}");
    let actions = writer.handle(ask(3, entry(Op::Claim, 3, 3), 9000), at(400));
    assert_eq!(appends(&actions).len(), 1, "one is let through to look");
}

#[test]
fn a_silent_log_is_given_up_before_the_append_times_out() {
    let mut writer = current();
    writer.handle(ask(1, entry(Op::Claim, 1, 1), 9000), at(101));
    assert_eq!(answers(&writer.handle(Event::Tick, at(599))), []);
    let actions = writer.handle(Event::Tick, at(640));
    assert!(matches!(answers(&actions)[..], [(1, Answer::Failed { written: true, .. })]));
    let actions = writer.handle(ask(2, entry(Op::Claim, 2, 2), 9000), at(650));
    assert!(matches!(answers(&actions)[..], [(2, Answer::Failed { written: false, .. })]));
}

#[test]
fn a_deadline_is_kept_and_the_entry_not_written_later() {
    let mut writer = Writer::new(LIMITS);
    writer.handle(ask(1, entry(Op::Claim, 1, 1), 300), at(100));
    let actions = writer.handle(Event::Tick, at(300));
    let late = Answer::Failed { error: claim::Error::Late, written: false };
    assert_eq!(answers(&actions), [(1, late)]);
    writer.handle(batch(0, &[]), at(301));
    assert_eq!(appends(&writer.handle(batch(0, &[]), at(302))), []);
}

#[test]
fn waiting_entries_are_bounded() {
    let mut writer = Writer::new(LIMITS);
    for n in 0..100 {
        assert_eq!(answers(&writer.handle(ask(n, entry(Op::Claim, 1, n), 9000), at(1))), []);
    }
    let actions = writer.handle(ask(100, entry(Op::Claim, 1, 100), 9000), at(1));
    let busy = claim::Error::Busy { retry_after: LIMITS.append_interval };
    assert_eq!(answers(&actions), [(100, Answer::Failed { error: busy, written: false })]);
}

#[test]
fn a_writer_that_may_be_behind_does_not_answer_from_memory() {
    let mut writer = current();
    let sent = appends(&writer.handle(ask(1, entry(Op::Claim, 1, 1), 9000), at(101)));
    writer.handle(batch(0, &[sent[0].1.clone()]), at(103));
    writer.handle(Event::Read(None), at(104));
    let actions = writer.handle(ask(2, entry(Op::Claim, 1, 2), 9000), at(105));
    assert_eq!(answers(&actions), []);
    writer.handle(Event::Tick, at(130));
    let release = claim::record::encode(&[entry(Op::Release, 1, 1)]);
    let again = appends(&writer.handle(batch(1, &[release]), at(131)));
    let actions = writer.handle(batch(2, &[again[0].1.clone()]), at(135));
    assert_eq!(answers(&actions), [(2, Answer::Claimed(claim::Verdict::First))]);
}

#[test]
fn a_writer_that_has_not_read_its_stream_rests() {
    let mut writer = Writer::new(LIMITS);
    writer.handle(ask(1, entry(Op::Claim, 1, 1), 9000), at(100));
    let wake = writer.wake().expect("a deadline to look at");
    assert!(wake > at(100), "{wake:?}");
    writer.handle(Event::Tick, wake);
    assert!(writer.wake().expect("a deadline to look at") > wake);
}

/// Reads the stream of `epoch`, which holds `bodies`, from its ends on to its end; all that is to be done.
fn read_again(writer: &mut Writer, epoch: logs::Epoch, bodies: &[Bytes], now: u64) -> Vec<Action> {
    let mut actions = writer.handle(batch_of(epoch, 0, &bodies[..bodies.len().min(1)]), at(now));
    for step in 0..20 {
        let Some(read) = actions.iter().rev().find_map(|action| match action {
            Action::Read(read) => Some(*read),
            _ => None,
        }) else {
            break;
        };
        if writer.current() && step > 0 {
            break;
        }
        let from = usize::try_from(read.from).expect("a small stream").min(bodies.len());
        let most = (from + read.most as usize).min(bodies.len());
        let mut event = batch_of(epoch, read.from, &bodies[from..most]);
        if let Event::Read(Some(batch)) = &mut event {
            batch.next = bodies.len() as u64;
        }
        actions.extend(writer.handle(event, at(now)));
    }
    assert!(writer.current());
    actions
}

fn claim_of(key_number: u8, host: u8) -> Entry {
    Entry { key: key(key_number), attempt: attempt(host, u64::from(host)), op: Op::Claim }
}

/// Guards against a call that runs twice since the log has lost the claim under which it ran.
#[test]
fn a_claim_that_the_log_has_lost_still_holds_and_is_written_again() {
    let mut writer = current();
    let kept = claim::record::encode(&[claim_of(1, 1)]);
    let lost = claim::record::encode(&[claim_of(2, 2), claim_of(3, 3)]);
    writer.handle(batch(0, &[kept.clone(), lost]), at(200));
    for epoch in 1..=2 {
        let now = 1000 * epoch;
        let actions = read_again(&mut writer, epoch, std::slice::from_ref(&kept), now);
        let rewritten = appends(&actions);
        assert_eq!(rewritten.len(), 1, "{actions:?}");
        let entries = claim::record::decode(&rewritten[0].1).expect("a record");
        assert_eq!(entries, [claim_of(2, 2), claim_of(3, 3)]);
        let again = writer.handle(ask(epoch, claim_of(2, 9), 90_000), at(now + 1));
        let taken = claim::Verdict::Taken(attempt(2, 2));
        assert_eq!(answers(&again), [(epoch, Answer::Claimed(taken))]);
        let fresh = writer.handle(ask(10 + epoch, claim_of(4, 4), 90_000), at(now + 1));
        assert_eq!(answers(&fresh).len() + appends(&fresh).len(), 0, "what is lost goes first");
        writer.handle(Event::Appended { ticket: rewritten[0].0, end: End::Done }, at(now + 2));
        writer.handle(batch_of(epoch, 1, &[rewritten[0].1.clone()]), at(now + 3));
        let next = appends(&writer.handle(Event::Tick, at(now + 30)));
        assert_eq!(claim::record::decode(&next[0].1).expect("a record"), [claim_of(4, 4)]);
    }
}

#[test]
fn an_append_that_the_log_has_lost_before_it_was_read_is_made_again() {
    let mut writer = current();
    let sent = appends(&writer.handle(ask(1, claim_of(1, 1), 90_000), at(101)));
    writer.handle(Event::Appended { ticket: sent[0].0, end: End::Done }, at(102));
    let actions = read_again(&mut writer, 1, &[], 200);
    let again = appends(&actions);
    assert_eq!((again.len(), answers(&actions).len()), (1, 0));
    assert_eq!(again[0].1, sent[0].1);
    let actions = writer.handle(batch_of(1, 0, &[again[0].1.clone()]), at(230));
    assert_eq!(answers(&actions), [(1, Answer::Claimed(claim::Verdict::First))]);
}

#[test]
fn what_was_given_up_stays_free_for_whom_it_was_given_to() {
    let mut writer = current();
    let release = Entry { op: Op::Release, ..claim_of(1, 1) };
    let bodies = [claim_of(1, 1), release, claim_of(1, 2)].map(|e| claim::record::encode(&[e]));
    writer.handle(batch(0, &bodies), at(200));
    let actions = read_again(&mut writer, 1, &bodies[..1], 1000);
    let rewritten = appends(&actions);
    let entries = claim::record::decode(&rewritten[0].1).expect("a record");
    assert_eq!(entries, [release, claim_of(1, 2)]);
    let again = writer.handle(ask(1, claim_of(1, 9), 90_000), at(1001));
    let taken = claim::Verdict::Taken(attempt(2, 2));
    assert_eq!(answers(&again), [(1, Answer::Claimed(taken))]);
}
