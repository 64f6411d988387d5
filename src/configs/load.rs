//! Loading of settings files. A preset overrides the defaults, the file overrides both, and the
//! environment overrides the file.

use std::env;
use std::fs;
use std::io;
use std::path;

use serde::Serialize;
use serde::de;
use serde_json::Value;

use crate::mesh::check::text;
use crate::mesh::fault;

#[cfg(test)]
mod tests;

/// Maximum size of a settings file.
pub const MAX_FILE_BYTES: usize = 64 * 1024;

/// Environment variable with settings that override those of the file: a JSON object of the same
/// shape. It serves platforms that give a process some of its settings apart from its file.
pub const OVERRIDES_VARIABLE: &str = "DANDELIONSPOOL_SETTINGS";

/// Name of the field that selects the preset.
const PRESET: &str = "preset";

/// Name and content of each preset.
const PRESETS: [(&str, &str); 2] = [
    ("cascadia", include_str!("../../presets/cascadia.json")),
    ("condor", include_str!("../../presets/condor.json")),
];

/// Error of loading a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: path::PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file, or what overrides it, has faults.
    #[error("{}:\n{faults}", path.display())]
    Faults {
        /// The file.
        path: path::PathBuf,
        /// All faults of the file.
        faults: fault::Faults,
    },
    /// The environment variable with the overrides is no JSON object in UTF-8.
    #[error("{OVERRIDES_VARIABLE}:\n{faults}")]
    Overrides {
        /// All faults of its value.
        faults: fault::Faults,
    },
}

/// Settings that have a file of their own.
///
/// [`read`] requires that every field has a default, nested ones included.
pub trait Settings: Default + Serialize + de::DeserializeOwned {
    /// Wraps a preset, which consists of node settings, so that it has the shape of these settings.
    fn nest_preset(preset: Value) -> Value;

    /// Adds a fault for each value of the complete settings `tree` that is out of range or
    /// contradicts another one. Skips values of a wrong type.
    fn validate(tree: &Value, faults: &mut Vec<fault::Fault>);
}

/// Reads and checks the settings file at `path`, overridden by the variable
/// [`OVERRIDES_VARIABLE`].
///
/// # Errors
///
/// The file can't be read, or it or the variable has faults.
pub fn load<T: Settings>(path: &path::Path) -> Result<T, SettingsError> {
    let body =
        fs::read(path).map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
    let overrides = env::var_os(OVERRIDES_VARIABLE).map(|value| value.into_encoded_bytes());
    let overrides = read_overrides(overrides.as_deref().unwrap_or_default());
    let overrides = overrides.map_err(|faults| SettingsError::Overrides { faults })?;
    read_with(&body, overrides)
        .map_err(|faults| SettingsError::Faults { path: path.to_owned(), faults })
}

/// Reads settings that override those of a file; an empty `body` overrides none.
///
/// # Errors
///
/// The body is no JSON object.
pub fn read_overrides(body: &[u8]) -> Result<Value, fault::Faults> {
    if body.trim_ascii().is_empty() {
        return Ok(Value::Object(Default::default()));
    }
    let mut faults = Vec::new();
    let overrides = parse(body, &mut faults).map_err(single_fault)?;
    if faults.is_empty() { Ok(overrides) } else { Err(fault::Faults::new(faults)) }
}

/// Reads and checks the settings file `body`.
///
/// # Errors
///
/// Every fault at once, each with its JSON pointer.
pub fn read<T: Settings>(body: &[u8]) -> Result<T, fault::Faults> {
    read_with(body, Value::Object(Default::default()))
}

/// Reads and checks the settings file `body`, of which `overrides` replaces parts.
///
/// # Errors
///
/// Every fault at once, each with its JSON pointer.
pub fn read_with<T: Settings>(body: &[u8], overrides: Value) -> Result<T, fault::Faults> {
    let mut faults = Vec::new();
    let mut given = parse(body, &mut faults).map_err(single_fault)?;
    merge(&mut given, overrides);
    let preset = take_preset(&mut given, &mut faults);
    let mut tree = to_tree(&T::default())?;
    if let Some(preset) = preset {
        merge(&mut tree, T::nest_preset(preset));
    }
    merge(&mut tree, given.clone());
    let mut invalid = Vec::new();
    T::validate(&tree, &mut invalid);
    add_parse_faults::<T>(&given, &mut invalid);
    faults.append(&mut invalid);
    if !faults.is_empty() {
        return Err(fault::Faults::new(faults));
    }
    T::deserialize(tree).map_err(|e| single_fault(unreadable(&e)))
}

/// Checks settings that were not read from a file.
pub fn check<T: Settings>(settings: &T) -> Result<(), fault::Faults> {
    let mut faults = Vec::new();
    T::validate(&to_tree(settings)?, &mut faults);
    if faults.is_empty() { Ok(()) } else { Err(fault::Faults::new(faults)) }
}

fn parse(body: &[u8], faults: &mut Vec<fault::Fault>) -> Result<Value, fault::Problem> {
    if body.len() > MAX_FILE_BYTES {
        return Err(fault::Problem::TooLarge { bytes: body.len(), limit: MAX_FILE_BYTES });
    }
    let given = text::read(body, faults)?;
    if given.is_object() {
        return Ok(given);
    }
    Err(fault::Problem::WrongType { wanted: "object".into() })
}

/// Removes the name of the preset from `given` and returns the preset; `None` if no preset is named
/// or the name is unknown, which adds a fault.
fn take_preset(given: &mut Value, faults: &mut Vec<fault::Fault>) -> Option<Value> {
    let name = given.as_object_mut()?.remove(PRESET)?;
    let file = PRESETS.iter().find(|(known, _)| name == *known);
    let preset = file.and_then(|(_, file)| serde_json::from_str(file).ok());
    if preset.is_none() {
        let options: Vec<&str> = PRESETS.iter().map(|(known, _)| *known).collect();
        let problem = fault::Problem::WrongChoice {
            value: name.to_string(),
            options: Value::from(options).to_string(),
        };
        faults.push(fault::Fault::new(fault::join("", PRESET), problem));
    }
    preset
}

/// Adds a fault for each value of `given` that can't be deserialised. Tries each value on its own,
/// with all other settings at their defaults, because serde stops at the first error. Skips
/// values that already have a fault.
fn add_parse_faults<T: Settings>(given: &Value, faults: &mut Vec<fault::Fault>) {
    let known = faults.len();
    let mut leaves = Vec::new();
    split_leaves(given, &mut String::new(), &mut leaves);
    for (pointer, alone) in leaves {
        if faults[..known].iter().any(|f| f.pointer == pointer) {
            continue;
        }
        if let Err(error) = T::deserialize(alone) {
            faults.push(fault::Fault::new(pointer, unreadable(&error)));
        }
    }
}

fn unreadable(error: &serde_json::Error) -> fault::Problem {
    let reason = error.to_string();
    if reason.starts_with("unknown field") {
        return fault::Problem::UnknownField;
    }
    fault::Problem::WrongValue { reason }
}

/// Adds the pointer of each leaf of `value` to `leaves`, with a tree that has only this leaf.
fn split_leaves(value: &Value, pointer: &mut String, leaves: &mut Vec<(String, Value)>) {
    let length = pointer.len();
    let mut inner = |key: &str, child: &Value, wrap: &dyn Fn(Value) -> Value| {
        fault::push(pointer, key);
        let first = leaves.len();
        split_leaves(child, pointer, leaves);
        for (_, alone) in &mut leaves[first..] {
            *alone = wrap(alone.take());
        }
        pointer.truncate(length);
    };
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (key, child) in fields {
                inner(key, child, &|v| Value::Object([(key.clone(), v)].into_iter().collect()));
            }
        }
        Value::Array(items) if !items.is_empty() => {
            for (index, child) in items.iter().enumerate() {
                inner(&index.to_string(), child, &|v| Value::Array(vec![v]));
            }
        }
        leaf => leaves.push((pointer.clone(), leaf.clone())),
    }
}

/// Merges `over` into `tree`: objects are merged recursively, other values are replaced.
fn merge(tree: &mut Value, over: Value) {
    match (tree, over) {
        (Value::Object(tree), Value::Object(over)) => {
            for (key, value) in over {
                merge(tree.entry(key).or_insert(Value::Null), value);
            }
        }
        (tree, over) => *tree = over,
    }
}

fn to_tree<T: Serialize>(settings: &T) -> Result<Value, fault::Faults> {
    serde_json::to_value(settings).map_err(|e| single_fault(unreadable(&e)))
}

fn single_fault(problem: fault::Problem) -> fault::Faults {
    fault::Faults::new(vec![fault::Fault::new("", problem)])
}
