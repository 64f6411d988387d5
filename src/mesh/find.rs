//! Finds the route of a request.
//!
//! A request to a host that has routes of its own takes one of these if any of their paths matches,
//! otherwise one of the routes for every host. Of several matching paths the longest is chosen. If
//! none of its routes has the method, the request has no route: falling back to a shorter path
//! could give a call the kind of another one, which may be allowed to run twice.
//!
//! For the same reason a path that an upstream may interpret as another path has no route: one with
//! an empty segment, a segment of one or two dots, a backslash, a semicolon (some servers cut off
//! the parameter of a segment that it begins), or a percent-encoded character that needs no
//! encoding.

use std::collections;

use smol_str::SmolStr;

use crate::mesh;

#[cfg(test)]
mod tests;

/// A set of HTTP methods.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Methods(u8);

impl Methods {
    /// Every method.
    pub const EVERY: Methods = Methods(u8::MAX);

    /// The set of the methods of `list`, or of every method if `list` is empty.
    pub fn of(list: &[http::Method]) -> Self {
        if list.is_empty() {
            return Self::EVERY;
        }
        Self(list.iter().fold(0, |bits, m| bits | bit(m)))
    }

    /// Whether `method` is in the set.
    pub fn has(self, method: &http::Method) -> bool {
        self.0 & bit(method) != 0
    }

    /// Whether any method is in both sets.
    pub fn overlaps(self, other: Methods) -> bool {
        self.0 & other.0 != 0
    }
}

/// The bit of `method`; all methods that a route can't list share one bit.
const fn bit(method: &http::Method) -> u8 {
    match *method {
        http::Method::DELETE => 1,
        http::Method::GET => 1 << 1,
        http::Method::HEAD => 1 << 2,
        http::Method::OPTIONS => 1 << 3,
        http::Method::PATCH => 1 << 4,
        http::Method::POST => 1 << 5,
        http::Method::PUT => 1 << 6,
        _ => 1 << 7,
    }
}

/// Index of routes by host and path.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Index {
    /// Routes of each named host, sorted by host.
    hosts: Vec<(SmolStr, Paths)>,
    /// Routes for every host.
    every: Paths,
    /// Whether the path of any route is not in normal form.
    raw: bool,
}

/// Routes of one host by path; the root path is the empty key.
#[derive(Clone, Debug, Default, PartialEq)]
struct Paths {
    routes: collections::HashMap<SmolStr, Vec<(Methods, mesh::RouteKey)>>,
    /// Length of the longest path, in bytes.
    max_length: usize,
}

impl Index {
    /// Builds the index of `routes`, of which there are at most as many as keys.
    pub fn new(routes: &[mesh::Route]) -> Self {
        let mut hosts: collections::BTreeMap<SmolStr, Paths> = collections::BTreeMap::new();
        let mut every = Paths::default();
        let raw = routes.iter().any(|route| !is_normal(&route.path));
        for (route, key) in routes.iter().zip((0..=u16::MAX).map(mesh::RouteKey)) {
            match &route.host {
                Some(host) => hosts.entry(host.clone()).or_default().add(route, key),
                None => every.add(route, key),
            }
        }
        Self { hosts: hosts.into_iter().collect(), every, raw }
    }

    /// The routes of the host that a `Host` header names; `None` when it has none of its own.
    fn host(&self, header: &str) -> Option<&Paths> {
        let name = host_name(header);
        let lower = || name.bytes().map(|b| b.to_ascii_lowercase());
        let index = self.hosts.binary_search_by(|(host, _)| host.bytes().cmp(lower())).ok()?;
        self.hosts.get(index).map(|(_, paths)| paths)
    }
}

impl Paths {
    fn add(&mut self, route: &mesh::Route, key: mesh::RouteKey) {
        let root = route.path == "/";
        let path = if root { SmolStr::default() } else { route.path.clone() };
        self.max_length = self.max_length.max(path.len());
        self.routes.entry(path).or_default().push((Methods::of(&route.methods), key));
    }

    /// The routes of the longest path that is a prefix of `path`.
    fn longest_match(&self, path: &str) -> Option<&[(Methods, mesh::RouteKey)]> {
        let mut end = path.len();
        loop {
            if let Some(routes) = self.get(&path[..end]) {
                return Some(routes);
            }
            let slash = path[..end].rfind('/')?;
            let trailing_slash = (slash + 1 < end).then(|| self.get(&path[..=slash])).flatten();
            if trailing_slash.is_some() {
                return trailing_slash;
            }
            end = slash;
        }
    }

    fn get(&self, path: &str) -> Option<&[(Methods, mesh::RouteKey)]> {
        if path.len() > self.max_length {
            return None;
        }
        self.routes.get(path).map(Vec::as_slice)
    }
}

impl mesh::Mesh {
    /// Finds the route of a request with this `Host` header, method and path without query.
    ///
    /// Does not allocate. Returns `None` when no route matches, or what follows the route's own
    /// path is not in normal form.
    pub fn find(
        &self,
        host: Option<&str>,
        method: &http::Method,
        path: &str,
    ) -> Option<mesh::RouteKey> {
        let normal = is_normal(path);
        if !normal && !self.index.raw {
            return None;
        }
        let named = host.and_then(|h| self.index.host(h)).and_then(|p| p.longest_match(path));
        let routes = named.or_else(|| self.index.every.longest_match(path))?;
        let (_, key) = routes.iter().find(|(methods, _)| methods.has(method))?;
        (normal || is_raw_match(&self.route(*key).path, path)).then_some(*key)
    }
}

/// Whether `path` is not in normal form only because its route's `prefix` is not either: whoever
/// chose that prefix means just these characters.
fn is_raw_match(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    let rest = rest.strip_prefix('/').unwrap_or(rest);
    !is_normal(prefix) && (rest.is_empty() || has_normal_segments(rest))
}

/// The name in a `Host` header, without the port and without the trailing dot of an absolute name.
fn host_name(header: &str) -> &str {
    let name = match header.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => header,
    };
    name.strip_suffix('.').unwrap_or(name)
}

/// Whether `path` is in normal form: no server can interpret it as another path.
fn is_normal(path: &str) -> bool {
    path.strip_prefix('/').is_some_and(has_normal_segments)
}

/// Whether what follows the first slash of a path is in normal form.
fn has_normal_segments(rest: &str) -> bool {
    if rest.contains(['\\', ';']) || !is_encoded(rest.as_bytes()) {
        return false;
    }
    let mut segments = rest.split('/');
    let last = segments.next_back();
    let dots = |s: &str| s == "." || s == "..";
    !last.is_some_and(dots) && segments.all(|s| !s.is_empty() && !dots(s))
}

/// Whether each percent sign begins the code of a character that has to be encoded.
fn is_encoded(path: &[u8]) -> bool {
    let signs = path.iter().enumerate().filter(|(_, b)| **b == b'%');
    signs.map(|(i, _)| path.get(i + 1..i + 3)).all(|code| code.is_some_and(needs_code))
}

/// Whether the character with the code of two hexadecimal `digits` has to be encoded in a path.
fn needs_code(digits: &[u8]) -> bool {
    let value = |d: u8| char::from(d).to_digit(16);
    let [Some(high), Some(low)] = [digits[0], digits[1]].map(value) else { return false };
    match char::from_u32(high * 16 + low) {
        Some('-' | '.' | '_' | '~' | '/' | '\\') | None => false,
        Some(c) => !c.is_ascii_alphanumeric(),
    }
}
