//! Divides the calls of split routes between services, by weighted round robin: the shares are met
//! within any short sequence of calls, and not only on average.

use std::collections;

use smol_str::SmolStr;

use crate::mesh;

#[cfg(test)]
mod tests;

/// The state of each split route, by its name.
#[derive(Debug, Default)]
pub struct TrafficSplit {
    routes: collections::HashMap<SmolStr, Shares>,
}

/// How far each part of a route is behind its share.
///
/// Invariants: `credits` is as long as `parts`; the credits add up to zero between two calls.
#[derive(Debug)]
struct Shares {
    parts: Vec<mesh::Part>,
    credits: Vec<i64>,
}

impl TrafficSplit {
    /// The service for the next call of `route`.
    pub fn next(&mut self, route: &mesh::Route) -> mesh::ServiceKey {
        if route.split.is_empty() {
            return route.service;
        }
        let known = self.routes.get_mut(&route.name);
        if let Some(shares) = known.filter(|shares| shares.parts == route.split) {
            return shares.next().unwrap_or(route.service);
        }
        let mut shares = Shares::new(&route.split);
        let next = shares.next().unwrap_or(route.service);
        self.routes.insert(route.name.clone(), shares);
        next
    }

    /// Removes the routes that are not split in `mesh`.
    pub fn retain(&mut self, mesh: &mesh::Mesh) {
        let split = mesh.routes.iter().filter(|r| !r.split.is_empty());
        let names: collections::HashSet<&SmolStr> = split.map(|r| &r.name).collect();
        self.routes.retain(|name, _| names.contains(name));
    }
}

impl Shares {
    fn new(parts: &[mesh::Part]) -> Self {
        Self { parts: parts.to_vec(), credits: vec![0; parts.len()] }
    }

    /// Smooth weighted round robin: each part's credit grows by its weight; the part of the highest
    /// credit is chosen, and the total weight is deducted from its credit. With weights 90 and 10,
    /// one of every ten consecutive calls goes to the second part.
    fn next(&mut self) -> Option<mesh::ServiceKey> {
        let total: i64 = self.parts.iter().map(|p| i64::from(p.weight)).sum();
        for (credit, part) in self.credits.iter_mut().zip(&self.parts) {
            *credit += i64::from(part.weight);
        }
        let has_weight = |&i: &usize| self.parts[i].weight > 0;
        let chosen = (0..self.parts.len()).filter(has_weight).max_by_key(|&i| self.credits[i])?;
        self.credits[chosen] -= total;
        Some(self.parts[chosen].service)
    }
}
