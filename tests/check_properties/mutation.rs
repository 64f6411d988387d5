//! Random changes to a valid file.

use proptest::prelude::*;
use proptest::sample;
use serde_json::Value;
use serde_json::json;

const EXAMPLES: [&str; 2] = [
    include_str!("../../examples/configurations/cascadia.json"),
    include_str!("../../examples/configurations/condor.json"),
];

/// One of the examples.
pub fn example() -> impl Strategy<Value = Value> {
    sample::select(EXAMPLES.to_vec()).prop_map(|file| serde_json::from_str(file).unwrap())
}

/// A change to one value of a file; an index selects the value among all values of the file.
#[derive(Clone, Debug)]
pub enum Change {
    /// Replaces the value.
    Replace(sample::Index, Value),
    /// Replaces the value at the first index by a copy of the one at the second.
    Copy(sample::Index, sample::Index),
    /// Removes the field or item.
    Remove(sample::Index),
    /// Adds a value to the list or object at the index.
    Add(sample::Index, Value),
}

/// A few changes.
pub fn changes() -> impl Strategy<Value = Vec<Change>> {
    prop::collection::vec(change(), 1..4)
}

fn change() -> impl Strategy<Value = Change> {
    let index = any::<sample::Index>;
    prop_oneof![
        (index(), value()).prop_map(|(p, v)| Change::Replace(p, v)),
        (index(), index()).prop_map(|(p, q)| Change::Copy(p, q)),
        index().prop_map(Change::Remove),
        (index(), value()).prop_map(|(p, v)| Change::Add(p, v)),
    ]
}

fn value() -> impl Strategy<Value = Value> {
    let texts = ["", "browse", "catalogue", "guest-shop", "/", "/a/b", "GET", "A b", "ñ"];
    prop_oneof![
        any::<i64>().prop_map(Value::from),
        (0..100u64).prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        sample::select(texts.to_vec()).prop_map(Value::from),
        sample::select(vec![json!(null), json!(true), json!([]), json!({}), json!(1.0)]),
    ]
}

impl Change {
    /// Applies the change to `file`.
    pub fn apply(&self, file: &mut Value) {
        let mut pointers = Vec::new();
        list(file, "", &mut pointers);
        let at = |index: &sample::Index| pointers[index.index(pointers.len())].clone();
        match self {
            Change::Replace(index, value) => set(file, &at(index), value.clone()),
            Change::Copy(index, other) => {
                let value = file.pointer(&at(other)).cloned().unwrap_or_default();
                set(file, &at(index), value);
            }
            Change::Remove(index) => remove(file, &at(index)),
            Change::Add(index, value) => add(file, &at(index), value.clone()),
        }
    }
}

/// Adds the pointer to every value in `value`, which is at `pointer`, to `pointers`.
fn list(value: &Value, pointer: &str, pointers: &mut Vec<String>) {
    pointers.push(pointer.to_owned());
    match value {
        Value::Object(map) => map.iter().for_each(|(k, v)| {
            let key = k.replace('~', "~0").replace('/', "~1");
            list(v, &format!("{pointer}/{key}"), pointers);
        }),
        Value::Array(items) => {
            items
                .iter()
                .enumerate()
                .for_each(|(i, v)| list(v, &format!("{pointer}/{i}"), pointers));
        }
        _ => {}
    }
}

fn set(file: &mut Value, pointer: &str, value: Value) {
    if let Some(target) = file.pointer_mut(pointer) {
        *target = value;
    }
}

fn remove(file: &mut Value, pointer: &str) {
    let Some((parent, key)) = pointer.rsplit_once('/') else { return };
    match file.pointer_mut(parent) {
        Some(Value::Object(map)) => drop(map.remove(key)),
        Some(Value::Array(items)) => drop(items.remove(key.parse().unwrap())),
        _ => {}
    }
}

fn add(file: &mut Value, pointer: &str, value: Value) {
    match file.pointer_mut(pointer) {
        Some(Value::Object(map)) => drop(map.insert("a/b~c".to_owned(), value)),
        Some(Value::Array(items)) => match items.first().cloned() {
            Some(first) if value.is_null() => items.push(first),
            _ => items.push(value),
        },
        _ => {}
    }
}
