//! Memory for bodies of requests that are held whole, bounded for the whole process.

use std::cell::Cell;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Bytes that bodies may still take up.
#[derive(Debug)]
pub struct Room {
    free: Cell<u64>,
}

/// Bytes taken from a room; dropped, they are free again.
#[derive(Debug)]
pub struct Share {
    room: Rc<Room>,
    bytes: u64,
}

impl Room {
    /// A room of `bytes`.
    pub const fn new(bytes: u64) -> Self {
        Self { free: Cell::new(bytes) }
    }

    /// Takes `bytes`; `None` when fewer are free.
    pub fn take(self: &Rc<Self>, bytes: u64) -> Option<Share> {
        let free = self.free.get().checked_sub(bytes)?;
        self.free.set(free);
        Some(Share { room: Rc::clone(self), bytes })
    }
}

impl Share {
    /// Gives back all but `bytes`.
    pub fn shrink(&mut self, bytes: u64) {
        let spare = self.bytes.saturating_sub(bytes);
        self.bytes -= spare;
        self.room.free.set(self.room.free.get() + spare);
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.room.free.set(self.room.free.get() + self.bytes);
    }
}
