//! Tests of single decisions, and of the limit under any order of messages. Whole meshes under load
//! are tested in [`crate::bench::quotas`].

use std::net;
use std::time;

use proptest::prelude::*;
use rstest::rstest;

use crate::clock;
use crate::host;
use crate::quota;
use crate::quota::borrower;
use crate::quota::holder;
use crate::quota::roster;
use crate::quota::wire;
use crate::seal;
use crate::token_bucket;
use crate::view;

const LIMIT: quota::Limit = quota::Limit { rate: 10.0, burst: 20.0 };

const TOLERANCE: quota::Tolerance =
    quota::Tolerance { window: time::Duration::from_secs(5), over: 0.1, slack: 20.0 };

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

fn id(last: u8) -> host::HostId {
    host::HostId::new((net::Ipv4Addr::new(10, 0, 0, last), 7100).into())
}

fn organisation() -> quota::OrganisationId {
    quota::OrganisationId::of("bakers")
}

/// A view of the hosts 1 to `count`, of which `unreachable` can't be reached.
fn view(count: u8, unreachable: &[u8]) -> view::View {
    let locality = view::Locality { region: "r".into(), zone: "z".into() };
    let host = |last: u8| view::Host {
        id: id(last),
        locality: locality.clone().into(),
        incarnation: 1,
        health: match unreachable.contains(&last) {
            true => view::Health::Unreachable,
            false => view::Health::Alive,
        },
        upstream: None,
    };
    view::View::new((1..=count).map(host).collect())
}

/// The roster of host `me` among `count` hosts, from time zero on.
fn roster(me: u8, count: u8, unreachable: &[u8]) -> roster::Roster {
    let mut roster = roster::Roster::new(id(me), at(0));
    roster.update(&view(count, unreachable), at(0));
    roster
}

/// The host that holds the account among `count` hosts.
fn holder_among(count: u8, unreachable: &[u8]) -> u8 {
    let me = (1..=count).find(|last| !unreachable.contains(last)).unwrap_or(1);
    let holder = roster(me, count, unreachable).holder(organisation());
    (1..=count).find(|&last| id(last) == holder).expect("a known host")
}

fn ask(number: u64, want: u16, returned: u16) -> wire::Ask {
    wire::Ask { session: 7, number, organisation: organisation(), want, waiting: 1, returned }
}

#[test]
fn a_bucket_fills_at_its_rate_up_to_its_burst() {
    let mut bucket = token_bucket::Bucket::new(LIMIT, 1.0, 100.0, at(0));
    assert_eq!(bucket.take(50, at(0)), 20);
    assert_eq!(bucket.take(50, at(1500)), 15);
    assert_eq!(bucket.take(50, at(60_000)), 20);
}

#[test]
fn refused_calls_are_given_times_one_after_the_other() {
    let mut bucket = token_bucket::Bucket::new(LIMIT, 1.0, 0.0, at(0));
    let waits: Vec<u128> = (0..3).map(|_| bucket.book(1, at(0)).as_millis()).collect();
    assert_eq!(waits, [100, 200, 300]);
    assert_eq!(bucket.book(1, at(200)).as_millis(), 0, "two of them have had their turn");
}

#[test]
fn a_share_of_a_bucket_has_that_share_of_the_limit() {
    let mut bucket = token_bucket::Bucket::new(LIMIT, 0.25, 100.0, at(0));
    assert_eq!(bucket.take(50, at(0)), 5);
    assert_eq!(bucket.take(50, at(2000)), 5);
}

#[test]
fn a_roster_chooses_the_same_holder_everywhere_and_another_when_it_is_gone() {
    let holder = holder_among(9, &[]);
    for me in 1..=9 {
        assert_eq!(roster(me, 9, &[]).holder(organisation()), id(holder));
    }
    assert_ne!(holder_among(9, &[holder]), holder);
    assert_eq!(roster(1, 4, &[2, 3]).share(), 0.5);
}

/// A new holder might lend what the former one has lent already: it waits until the news of the
/// change has reached everybody, and starts with little.
#[test]
fn a_new_holder_waits_before_it_lends() {
    let me = holder_among(5, &[]);
    let roster = roster(me, 5, &[]);
    let mut holder = holder::Holder::default();
    let mut verdict = |number, millis| {
        holder.ask(id(1), &ask(number, 50, 0), Some(LIMIT), (&roster, &TOLERANCE), at(millis))
    };
    assert_eq!(verdict(1, 500), Some(wire::Verdict::NotReady));
    let Some(wire::Verdict::Lent { credits, .. }) = verdict(2, 1000) else {
        panic!("nothing was lent")
    };
    assert_eq!(f64::from(credits), TOLERANCE.part(LIMIT).floor());
}

#[rstest]
#[case::another_holds(Some(LIMIT), false)]
#[case::no_limit_here(None, true)]
fn who_does_not_hold_an_account_says_so(#[case] limit: Option<quota::Limit>, #[case] held: bool) {
    let me = holder_among(5, &[]);
    let me = if held { me } else { me % 5 + 1 };
    let mut holder = holder::Holder::default();
    let around = (&roster(me, 5, &[]), &TOLERANCE);
    let verdict = holder.ask(id(1), &ask(1, 1, 0), limit, around, at(9000));
    assert_eq!(verdict, Some(wire::Verdict::NotReady));
}

/// A repeated datagram must not return credits twice.
#[test]
fn a_repeated_request_is_not_answered() {
    let me = holder_among(5, &[]);
    let roster = roster(me, 5, &[]);
    let mut holder = holder::Holder::default();
    let mut ask = |number| {
        let ask = ask(number, 1, 5);
        holder.ask(id(1), &ask, Some(LIMIT), (&roster, &TOLERANCE), at(9000)).is_some()
    };
    let seen = [9, 7, 9, 7, 8, 100, 8, 30].map(&mut ask);
    assert_eq!(seen, [true, true, false, false, true, true, false, false]);
}

/// A node under test, whose requests the test answers.
struct Node {
    borrower: borrower::Borrower,
    roster: roster::Roster,
    out: Vec<borrower::Outgoing>,
}

impl Node {
    fn new() -> Self {
        let borrower = borrower::Borrower::new(TOLERANCE, 1);
        Self { borrower, roster: roster(1, 5, &[]), out: Vec::new() }
    }

    fn take(&mut self, millis: u64) -> borrower::Take {
        self.borrower.take(organisation(), LIMIT, &self.roster, at(millis), &mut self.out)
    }

    fn again(&mut self, millis: u64) -> borrower::Take {
        self.borrower.again(organisation(), &self.roster, at(millis), &mut self.out)
    }

    /// Answers the latest request.
    fn reply(&mut self, verdict: wire::Verdict, millis: u64) {
        let ask = self.out.last().expect("a request").ask;
        let wire::Ask { session, number, organisation, .. } = ask;
        let reply = wire::Reply { session, number, organisation, verdict };
        assert!(self.borrower.reply(&reply, at(millis)));
    }
}

const LENT_3: wire::Verdict = wire::Verdict::Lent { credits: 3, lifetime_ms: 500 };

#[test]
fn a_call_waits_for_the_holder_and_later_ones_use_its_credits() {
    let mut node = Node::new();
    assert!(matches!(node.take(0), borrower::Take::Wait { .. }));
    assert_eq!(node.out.len(), 1);
    node.reply(LENT_3, 5);
    assert!(matches!(node.again(5), borrower::Take::Allowed(_)));
    assert!(matches!(node.take(10), borrower::Take::Allowed(_)));
    assert!(matches!(node.take(499), borrower::Take::Allowed(_)));
    assert!(matches!(node.take(499), borrower::Take::Wait { .. }));
}

#[test]
fn credits_that_expire_are_returned_with_the_next_request() {
    let mut node = Node::new();
    node.take(0);
    node.reply(LENT_3, 5);
    node.again(5);
    assert!(matches!(node.take(500), borrower::Take::Wait { .. }));
    assert_eq!(node.out.last().expect("a request").ask.returned, 2);
}

#[test]
fn the_credit_of_a_call_that_did_not_run_is_used_by_the_next_one() {
    let mut node = Node::new();
    node.take(0);
    node.reply(wire::Verdict::Lent { credits: 1, lifetime_ms: 500 }, 5);
    let borrower::Take::Allowed(credit) = node.again(5) else { panic!("not allowed") };
    node.borrower.give_back(organisation(), credit);
    assert!(matches!(node.take(10), borrower::Take::Allowed(_)));
}

#[test]
fn calls_are_refused_at_once_while_the_limit_is_reached() {
    let mut node = Node::new();
    node.take(0);
    node.reply(wire::Verdict::Denied { wait_ms: 300 }, 5);
    let waits = [node.again(5), node.take(6), node.take(7)].map(|take| match take {
        borrower::Take::Refused { retry_after } => retry_after.as_millis(),
        other => panic!("{other:?}"),
    });
    // This host's share of the rate is two calls a second.
    assert_eq!(waits, [300, 799, 1298]);
    assert!(matches!(node.take(400), borrower::Take::Wait { .. }));
}

/// A holder that does not answer must not stop an organisation, nor free it of its limit.
#[rstest]
#[case::silent(None)]
#[case::not_ready(Some(wire::Verdict::NotReady))]
fn a_node_without_a_holder_allows_its_share_of_the_rate(#[case] verdict: Option<wire::Verdict>) {
    let mut node = Node::new();
    node.take(0);
    match verdict {
        Some(verdict) => {
            node.reply(verdict, 2);
            node.again(2);
        }
        None => {
            for millis in [40, 80, 120, 160] {
                assert!(matches!(node.again(millis), borrower::Take::Wait { .. }));
            }
            node.again(200);
        }
    }
    let allowed = |take| matches!(take, borrower::Take::Allowed(_));
    let count = (0..1000).filter(|n| allowed(node.take(300 + n * 10))).count();
    assert!((19..=22).contains(&count), "{count} calls in ten seconds at two a second");
}

#[test]
fn a_message_that_was_changed_or_sealed_by_another_mesh_is_rejected() {
    let (ours, other) = (seal::Seal::new("mesh", "key"), seal::Seal::new("other", "key"));
    let message = wire::Message::Ask(ask(u64::MAX, u16::MAX, u16::MAX));
    let datagram = message.encode(&ours).expect("encoded");
    assert!(datagram.len() <= wire::MAX_BYTES);
    assert_eq!(wire::Message::decode(&datagram, &ours), Ok(message));
    assert!(wire::Message::decode(&datagram, &other).is_err());
    let mut changed = datagram;
    changed[12] ^= 1;
    assert!(wire::Message::decode(&changed, &ours).is_err());
}

/// A step of a run with any order of messages.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time passes.
    Pass(u64),
    /// A caller comes to this node.
    Call(usize),
    /// The message at this place is delivered, and stays to be delivered again if the flag is set.
    Deliver(usize, bool),
    /// The message at this place is lost.
    Lose(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        2 => (1u64..400).prop_map(Step::Pass),
        4 => (0usize..4).prop_map(Step::Call),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(at, again)| Step::Deliver(at, again)),
        1 => any::<usize>().prop_map(Step::Lose),
    ];
    proptest::collection::vec(step, 1..400)
}

/// Runs `steps` with four nodes. Where `split`, two holders each believe that they hold the account
/// and reach half of the hosts. Returns when calls were allowed with credits that were lent.
fn run(steps: &[Step], split: bool) -> Vec<u64> {
    let unreachable: [&[u8]; 2] = if split { [&[3, 4], &[1, 2]] } else { [&[], &[]] };
    let side = |node: usize| unreachable[usize::from(node >= 2)];
    let rosters: Vec<_> = (0u8..4).map(|n| roster(n + 1, 4, side(usize::from(n)))).collect();
    let mut borrowers: Vec<_> = (0..4).map(|n| borrower::Borrower::new(TOLERANCE, n)).collect();
    let mut holders: Vec<_> = (0..4).map(|_| holder::Holder::default()).collect();
    let index = |host| (0u8..4).find(|&n| id(n + 1) == host).map_or(0, usize::from);
    let mut wire: Vec<(usize, usize, wire::Message)> = Vec::new();
    let mut allowed = Vec::new();
    let mut now = 5000;
    for &step in steps {
        match step {
            Step::Pass(millis) => now += millis,
            Step::Call(node) => {
                let mut out = Vec::new();
                let roster = &rosters[node];
                let mut take =
                    borrowers[node].take(organisation(), LIMIT, roster, at(now), &mut out);
                if matches!(take, borrower::Take::Wait { .. }) {
                    take = borrowers[node].again(organisation(), roster, at(now), &mut out);
                    borrowers[node].leave(organisation());
                }
                if matches!(take, borrower::Take::Allowed(c) if c != borrower::Credit::OWN) {
                    allowed.push(now);
                }
                let sent = out.iter().map(|o| (node, index(o.to), wire::Message::Ask(o.ask)));
                wire.extend(sent);
            }
            Step::Lose(place) if !wire.is_empty() => {
                wire.swap_remove(place % wire.len());
            }
            Step::Deliver(place, again) if !wire.is_empty() => {
                let place = place % wire.len();
                let (from, to, message) = wire[place];
                if !again {
                    wire.swap_remove(place);
                }
                match message {
                    wire::Message::Ask(ask) => {
                        let around = (&rosters[to], &TOLERANCE);
                        let sender = id(u8::try_from(from).unwrap_or(0) + 1);
                        let verdict = holders[to].ask(sender, &ask, Some(LIMIT), around, at(now));
                        let wire::Ask { session, number, organisation, .. } = ask;
                        let reply = |verdict| {
                            wire::Message::Reply(wire::Reply {
                                session,
                                number,
                                organisation,
                                verdict,
                            })
                        };
                        wire.extend(verdict.map(|verdict| (to, from, reply(verdict))));
                    }
                    wire::Message::Reply(reply) => {
                        borrowers[to].reply(&reply, at(now));
                    }
                }
            }
            Step::Lose(_) | Step::Deliver(..) => {}
        }
    }
    allowed
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// However messages are lost, repeated, delayed and reordered, and though two hosts hold the
    /// account at once, the credits that are used in any span are at most the limit and what credits
    /// lent before the span may add.
    #[test]
    fn lent_credits_keep_to_the_limit(steps in steps(), split in any::<bool>()) {
        let allowed = run(&steps, split);
        let window = u64::try_from(TOLERANCE.window.as_millis()).expect("a window in range");
        for (index, first) in allowed.iter().enumerate() {
            let within = allowed[index..].iter().take_while(|last| **last - first <= window);
            let most = LIMIT.rate * TOLERANCE.window.as_secs_f64() + LIMIT.burst
                + TOLERANCE.part(LIMIT);
            prop_assert!((within.count() as f64) <= most.ceil());
        }
    }
}
