//! Parses JSON into a tree, and adds a fault for each duplicate key of an object.

use std::fmt;

use serde::de;
use serde_json::Value;

use crate::mesh::fault;

/// Limit below which a float represents every integer exactly.
const MAX_EXACT: f64 = 9_007_199_254_740_992.0;

/// Parses `body`. Of a duplicate key the first value is kept, and a fault is added to `faults`.
pub fn read(body: &[u8], faults: &mut Vec<fault::Fault>) -> Result<Value, fault::Problem> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    let mut pointer = String::new();
    let seed = Seed { pointer: &mut pointer, faults };
    let value = de::DeserializeSeed::deserialize(seed, &mut reader).map_err(problem)?;
    reader.end().map_err(problem)?;
    Ok(value)
}

fn problem(error: serde_json::Error) -> fault::Problem {
    fault::Problem::NotJson {
        line: error.line(),
        column: error.column(),
        reason: error.to_string(),
    }
}

/// Parses the value at `pointer`.
struct Seed<'a> {
    pointer: &'a mut String,
    faults: &'a mut Vec<fault::Fault>,
}

impl Seed<'_> {
    /// A seed for the child with `key`, which is appended to the pointer; the caller truncates the
    /// pointer afterwards.
    fn child(&mut self, key: &str) -> Seed<'_> {
        fault::push(self.pointer, key);
        Seed { pointer: self.pointer, faults: self.faults }
    }
}

impl<'de> de::DeserializeSeed<'de> for Seed<'_> {
    type Value = Value;

    fn deserialize<D: de::Deserializer<'de>>(self, reader: D) -> Result<Value, D::Error> {
        reader.deserialize_any(self)
    }
}

impl<'de> de::Visitor<'de> for Seed<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    /// A float without a fraction is an integer, as in JSON Schema.
    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        let is_integer = value.fract() == 0.0 && value.abs() < MAX_EXACT;
        Ok(if is_integer { Value::from(value as i64) } else { Value::from(value) })
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_string<E>(self, value: String) -> Result<Value, E> {
        Ok(Value::String(value))
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: de::SeqAccess<'de>>(mut self, mut seq: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        let length = self.pointer.len();
        while let Some(item) = seq.next_element_seed(self.child(&items.len().to_string()))? {
            items.push(item);
            self.pointer.truncate(length);
        }
        self.pointer.truncate(length);
        Ok(Value::Array(items))
    }

    fn visit_map<A: de::MapAccess<'de>>(mut self, mut map: A) -> Result<Value, A::Error> {
        let mut fields = serde_json::Map::new();
        let length = self.pointer.len();
        while let Some(key) = map.next_key::<String>()? {
            let value = map.next_value_seed(self.child(&key))?;
            if fields.contains_key(&key) {
                let pointer = self.pointer.clone();
                self.faults.push(fault::Fault::new(pointer, fault::Problem::DuplicateKey));
            } else {
                fields.insert(key, value);
            }
            self.pointer.truncate(length);
        }
        Ok(Value::Object(fields))
    }
}
