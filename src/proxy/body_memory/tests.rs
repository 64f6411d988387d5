use std::rc::Rc;

use crate::proxy::body_memory;

#[test]
fn a_room_gives_out_no_more_than_it_has_and_takes_it_back() {
    let room = Rc::new(body_memory::Room::new(100));
    let first = room.take(60);
    assert!(first.is_some());
    assert!(room.take(41).is_none());
    let mut second = room.take(40).expect("40 are free");
    assert!(room.take(1).is_none());
    second.shrink(10);
    assert!(room.take(30).is_some(), "given back at once");
    drop(first);
    assert!(room.take(90).is_some());
    assert!(room.take(91).is_none());
}
