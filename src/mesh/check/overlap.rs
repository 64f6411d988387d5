//! Finds routes that overlap: two that match the same host, path and method.

use std::collections;

use serde_json::Value;

use crate::mesh::check::items;
use crate::mesh::fault;
use crate::mesh::find;

/// Host (`None` for every host) and path of a route; only routes with the same pair can overlap.
type Target<'a> = (Option<&'a str>, &'a str);

/// Methods of a route, and its index in the file.
type Matched = (find::Methods, usize);

/// Adds each route that overlaps an earlier one to `faults`.
pub fn check(draft: &items::Draft<'_>, faults: &mut Vec<fault::Fault>) {
    let mut seen: collections::HashMap<Target<'_>, Vec<Matched>> = collections::HashMap::new();
    for route in draft.routes.iter() {
        let (Some(path), Some(methods)) = (route.text("path"), methods(&route)) else { continue };
        let earlier = seen.entry((route.text("host"), path)).or_default();
        if let Some((_, other)) = earlier.iter().find(|(m, _)| m.overlaps(methods)) {
            let other = format!("{}/{other}", draft.routes.pointer);
            faults.push(fault::Fault::new(route.pointer(), fault::Problem::Overlap { other }));
        }
        earlier.push((methods, route.index));
    }
}

/// The known methods of a route; `None` when it lists only unknown ones.
fn methods(route: &items::Item<'_, '_>) -> Option<find::Methods> {
    let Some(list) = route.value.get("methods").and_then(Value::as_array) else {
        return Some(find::Methods::EVERY);
    };
    if list.is_empty() {
        return Some(find::Methods::EVERY);
    }
    let known: Vec<http::Method> = list.iter().filter_map(|m| m.as_str()?.parse().ok()).collect();
    if known.is_empty() { None } else { Some(find::Methods::of(&known)) }
}
