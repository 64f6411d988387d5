use std::rc::Rc;
use std::time;

use tokio::task;

use crate::admit;
use crate::context;
use crate::proxy::slots;

/// Weight of a call of a kind of priority 0, and of one of a kind of priority 1.
const URGENT: u32 = 255 << 20;
const PLAIN: u32 = 254 << 20;

const RUN_TIME: time::Duration = time::Duration::from_millis(50);

fn three_slots(urgent_room: bool) -> Rc<slots::Slots> {
    let slots = Rc::new(slots::Slots::new(context::Context::system()));
    slots.reserve_urgent(urgent_room);
    slots.set_limits(admit::Limits { slots: 3, connections: 9, queue: 9 });
    slots
}

/// A call that has ten seconds.
fn request(slots: &slots::Slots, weight: u32) -> slots::Request<'static> {
    let deadline = slots.ctx.now() + time::Duration::from_secs(10);
    let (nested, returning) = (false, false);
    slots::Request { kind: "kind", weight, nested, returning, target: deadline, deadline }
}

/// Guards against a call that waits for ever beside a free slot: nothing happens at the gate when
/// the reservation ends, as the calls that run hang.
#[tokio::test]
async fn a_call_gets_a_reserved_slot_when_the_reservation_has_ended() {
    task::LocalSet::new().run_until(wait_for_a_reserved_slot()).await;
}

async fn wait_for_a_reserved_slot() {
    let slots = three_slots(true);
    let urgent = slots.enter(&request(&slots, URGENT)).await.expect("a slot is free");
    tokio::time::sleep(RUN_TIME).await;
    urgent.end();
    let began = slots.ctx.now();
    let hung = [
        slots.enter(&request(&slots, PLAIN)).await.expect("a slot is free"),
        slots.enter(&request(&slots, PLAIN)).await.expect("a slot is free"),
    ];
    assert_eq!(slots.reserved().slots, 1);
    let last = slots.enter(&request(&slots, PLAIN)).await.expect("a slot is free");
    let waited = slots.ctx.now().since(began);
    assert!(waited >= time::Duration::from_millis(500), "{waited:?}");
    assert!(waited <= time::Duration::from_secs(5), "{waited:?}");
    assert_eq!(slots.counts.held_back.get(), 1);
    drop((hung, last));
}

/// Guards against a gauge that shows reserved slots on an idle node, and a line of the end that comes
/// with the next call.
#[tokio::test]
async fn the_end_of_a_reservation_is_reported_on_an_idle_node() {
    task::LocalSet::new().run_until(go_idle()).await;
}

async fn go_idle() {
    let slots = three_slots(true);
    let urgent = slots.enter(&request(&slots, URGENT)).await.expect("a slot is free");
    tokio::time::sleep(RUN_TIME).await;
    urgent.end();
    assert_eq!(slots.counts.reserved.get(), 1);
    // A line has just said that a slot is reserved; the next one may follow after a second.
    slots.logged.set((slots.ctx.now(), true, 0));
    let limit = slots.ctx.now() + time::Duration::from_secs(5);
    while slots.reporting.get() && slots.ctx.now() < limit {
        tokio::time::sleep(RUN_TIME).await;
    }
    assert_eq!((slots.counts.reserved.get(), slots.logged.get().1), (0, false));
}

#[tokio::test]
async fn nothing_is_reserved_unless_it_is_switched_on() {
    let slots = three_slots(false);
    let urgent = slots.enter(&request(&slots, URGENT)).await.expect("a slot is free");
    tokio::time::sleep(RUN_TIME).await;
    urgent.end();
    let mut held = Vec::new();
    for _ in 0..3 {
        held.push(slots.enter(&request(&slots, PLAIN)).await.expect("a slot is free"));
    }
    assert_eq!((slots.reserved().slots, slots.counts.held_back.get()), (0, 0));
}

/// Guards against refusals that the log and the metrics don't tell from those of a full gate.
#[tokio::test]
async fn calls_refused_for_the_transfer_of_their_bodies_are_counted() {
    let slots = three_slots(false);
    let minute = time::Duration::from_secs(60);
    let transfer = admit::Transfer { before: minute, own: time::Duration::ZERO };
    assert!(slots.preview(&request(&slots, PLAIN), &transfer).is_err());
    assert!(slots.preview(&request(&slots, PLAIN), &admit::Transfer::default()).is_ok());
    assert_eq!(slots.counts.body_refused.get(), 1);
    slots.drain();
    assert!(slots.preview(&request(&slots, PLAIN), &transfer).is_err());
    assert_eq!(slots.counts.body_refused.get(), 1, "it is refused whatever the link does");
}
