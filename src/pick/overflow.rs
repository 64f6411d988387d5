//! Overflow of calls to other availability zones.
//!
//! Handles zones that are all busy: by chance a call would wait in its own zone while an upstream
//! of another one looks free, in each zone alike, so that calls cross between the same two zones in
//! both directions. Calls leave a zone in proportion to how much busier it is than the zone that they go
//! to, as the calls that went there before have shown.

/// Least share of the calls that would leave the zone and do, so that a change is noticed.
const MIN_SHARE: f32 = 1.0 / 16.0;

/// Difference of load between two zones at which every call that would wait leaves the busier one:
/// half of the slots of each upstream.
const FULL_SHARE_GAP: f32 = 0.5;

/// Load up to which reports count. Beyond it nothing is decided differently, and one false report
/// would keep calls out of its zone for long.
const MAX_LOAD: f32 = 2.0;

/// Weight of a new measurement: one in this many.
const SMOOTHING: f32 = 4.0;

/// Identifies an availability zone among those that a picker has seen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct ZoneKey(pub(super) u8);

/// Load of other zones, for the upstreams of one list: the share of the slots that is taken, and the
/// cost of the delay of nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct Overflow {
    /// Mean load by zone; `None` before a call came back from there. Bounded by the number of
    /// values of [`ZoneKey`].
    zones: Vec<Option<f32>>,
}

impl Overflow {
    /// Records that an upstream in `zone` reported this `load`.
    pub(super) fn record(&mut self, zone: ZoneKey, load: f32) {
        let index = usize::from(zone.0);
        if index >= self.zones.len() {
            self.zones.resize(index + 1, None);
        }
        let load = load.min(MAX_LOAD);
        let known = self.zones[index].get_or_insert(load);
        *known += (load - *known) / SMOOTHING;
    }

    /// The share that leaves of the calls which would leave a zone of load `own` for `zone`.
    pub(super) fn leaving_share(&self, zone: ZoneKey, own: f32) -> f32 {
        let known = self.zones.get(usize::from(zone.0)).copied().flatten();
        known.map_or(1.0, |known| ((own - known) / FULL_SHARE_GAP).clamp(MIN_SHARE, 1.0))
    }
}
