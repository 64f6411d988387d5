//! The named items of a JSON tree that may still have faults.

use std::collections;

use serde_json::Value;

use crate::mesh::check;
use crate::mesh::fault;

/// The lists of a configuration file; a list that is missing or malformed is empty.
pub struct Draft<'a> {
    /// Number of the format.
    pub format: u32,
    /// Organisations.
    pub organisations: List<'a>,
    /// Services.
    pub services: List<'a>,
    /// Kinds of each service, in the order of `services`.
    pub kinds: Vec<List<'a>>,
    /// Classes of upstreams.
    pub upstreams: List<'a>,
    /// Routes.
    pub routes: List<'a>,
    /// Roll-out orders.
    pub rollouts: List<'a>,
}

impl<'a> Draft<'a> {
    /// Reads the lists of `root`, a tree of `format`; duplicate names are added to `faults`.
    pub fn read(root: &'a Value, format: u32, faults: &mut Vec<fault::Fault>) -> Self {
        let services = List::read(root, "", "services", faults);
        let mut kinds = Vec::with_capacity(services.items.len());
        for item in services.iter() {
            kinds.push(List::read(item.value, &item.pointer(), "kinds", faults));
        }
        let organisations = if format == check::FORMAT_1 { "teams" } else { "organisations" };
        Self {
            format,
            organisations: List::read(root, "", organisations, faults),
            services,
            kinds,
            upstreams: List::read(root, "", "upstreams", faults),
            routes: List::read(root, "", "routes", faults),
            rollouts: List::read_unnamed(root, "", "rollouts"),
        }
    }
}

/// A list of items.
pub struct List<'a> {
    /// Pointer to the list.
    pub pointer: String,
    /// Its items; empty when the value is not a list.
    items: &'a [Value],
    /// Index of the first item with each name; empty for items without names.
    names: collections::HashMap<&'a str, usize>,
}

impl<'a> List<'a> {
    fn read(parent: &'a Value, pointer: &str, field: &str, faults: &mut Vec<fault::Fault>) -> Self {
        let mut list = Self::read_unnamed(parent, pointer, field);
        list.names.reserve(list.items.len());
        for index in 0..list.items.len() {
            list.add(index, faults);
        }
        list
    }

    /// Reads a list of items that have no names of their own.
    pub fn read_unnamed(parent: &'a Value, pointer: &str, field: &str) -> Self {
        let items = parent.get(field).and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
        Self { pointer: fault::join(pointer, field), items, names: collections::HashMap::new() }
    }

    /// Whether the list has no items.
    pub const fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    fn add(&mut self, index: usize, faults: &mut Vec<fault::Fault>) {
        let Some(name) = self.items[index].get("name").and_then(Value::as_str) else { return };
        let first = *self.names.entry(name).or_insert(index);
        if first != index {
            let problem = fault::Problem::DuplicateName {
                name: name.into(),
                first: format!("{}/{first}", self.pointer),
            };
            faults.push(fault::Fault::new(format!("{}/{index}/name", self.pointer), problem));
        }
    }

    /// The items in order.
    pub fn iter(&self) -> impl Iterator<Item = Item<'_, 'a>> {
        let item = |(index, value)| Item { list: self, index, value };
        self.items.iter().enumerate().map(item)
    }

    /// The first item with this name.
    pub fn named(&self, name: &str) -> Option<Item<'_, 'a>> {
        let index = *self.names.get(name)?;
        Some(Item { list: self, index, value: self.items.get(index)? })
    }
}

/// An item of a list.
#[derive(Clone, Copy)]
pub struct Item<'l, 'a> {
    list: &'l List<'a>,
    /// Its index in the list.
    pub index: usize,
    /// Its JSON value.
    pub value: &'a Value,
}

impl<'a> Item<'_, 'a> {
    /// Pointer to the item.
    pub fn pointer(&self) -> String {
        format!("{}/{}", self.list.pointer, self.index)
    }

    /// Pointer to its field `field`.
    pub fn field(&self, field: &str) -> String {
        fault::join(&self.pointer(), field)
    }

    /// The text in its field `field`; `None` when the field is missing or not a text.
    pub fn text(&self, field: &str) -> Option<&'a str> {
        self.value.get(field)?.as_str()
    }
}
