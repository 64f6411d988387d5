//! Changes of a valid file.

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

/// What is done to one place of a file.
#[derive(Clone, Debug)]
pub enum Change {
    /// The value is replaced.
    Replace(sample::Index, Value),
    /// The value is replaced by the one at the other place.
    Copy(sample::Index, sample::Index),
    /// The field or item is taken out.
    Remove(sample::Index),
    /// The value is added to the list or object.
    Add(sample::Index, Value),
}

/// A few changes.
pub fn changes() -> impl Strategy<Value = Vec<Change>> {
    prop::collection::vec(change(), 1..4)
}

fn change() -> impl Strategy<Value = Change> {
    let place = any::<sample::Index>;
    prop_oneof![
        (place(), value()).prop_map(|(p, v)| Change::Replace(p, v)),
        (place(), place()).prop_map(|(p, q)| Change::Copy(p, q)),
        place().prop_map(Change::Remove),
        (place(), value()).prop_map(|(p, v)| Change::Add(p, v)),
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
    /// Makes the change in `file`.
    pub fn apply(&self, file: &mut Value) {
        let mut pointers = Vec::new();
        list(file, "", &mut pointers);
        let at = |place: &sample::Index| pointers[place.index(pointers.len())].clone();
        match self {
            Change::Replace(place, value) => set(file, &at(place), value.clone()),
            Change::Copy(place, other) => {
                let value = file.pointer(&at(other)).cloned().unwrap_or_default();
                set(file, &at(place), value);
            }
            Change::Remove(place) => remove(file, &at(place)),
            Change::Add(place, value) => add(file, &at(place), value.clone()),
        }
    }
}

/// Adds the pointers to every value in `value` to `pointers`.
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
    if let Some(place) = file.pointer_mut(pointer) {
        *place = value;
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
