//! What an entry node has heard of upstreams beside other nodes, kept whatever becomes of these
//! nodes: one that starts anew learns from its callers what the upstream that ran on has said.

use std::collections;
use std::time;

use http::header;

use crate::clock;
use crate::host;
use crate::notice;

#[cfg(test)]
mod tests;

/// Time after which a limit that was not heard again is forgotten.
const LIMIT_LIFETIME: time::Duration = time::Duration::from_secs(10);

/// Time after which it is forgotten that an upstream is leaving: more than any of them takes.
const LEAVING_LIFETIME: time::Duration = time::Duration::from_secs(600);

/// Maximum number of hosts that are remembered. Beyond this the oldest notice is forgotten.
const MAX_HOSTS: usize = 4096;

/// The notices that answers of other nodes carried.
#[derive(Debug, Default)]
pub struct Heard {
    notices: collections::HashMap<host::HostId, (notice::Relayed, clock::Instant)>,
}

impl Heard {
    /// Records the notice with an answer of the upstream beside the node on `host`; `None` if there
    /// was none.
    pub fn record(
        &mut self,
        host: host::HostId,
        relayed: Option<notice::Relayed>,
        now: clock::Instant,
    ) {
        match relayed {
            Some(relayed) => {
                self.make_room(host);
                self.notices.insert(host, (relayed, now));
            }
            // A node that has started anew may not know yet that its upstream leaves.
            None => {
                let kept = self.notices.get(&host).is_some_and(|(r, _)| r.notice.leaving);
                if !kept {
                    self.notices.remove(&host);
                }
            }
        }
    }

    /// The value of the header that tells the node on `host` what was heard of its upstream.
    pub fn header(
        &mut self,
        host: host::HostId,
        now: clock::Instant,
    ) -> Option<header::HeaderValue> {
        let (relayed, at) = self.notices.get(&host)?;
        let lifetime = if relayed.notice.leaving { LEAVING_LIFETIME } else { LIMIT_LIFETIME };
        if now.since(*at) > lifetime {
            self.notices.remove(&host);
            return None;
        }
        header::HeaderValue::from_str(&relayed.to_string()).ok()
    }

    fn make_room(&mut self, host: host::HostId) {
        if self.notices.len() < MAX_HOSTS || self.notices.contains_key(&host) {
            return;
        }
        let oldest = self.notices.iter().min_by_key(|(_, (_, at))| *at).map(|(host, _)| *host);
        oldest.map(|oldest| self.notices.remove(&oldest));
    }
}
