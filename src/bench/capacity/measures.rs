//! The measurements file: named values, each with the command that produced it.

use std::collections;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One value with its unit and origin.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Measure {
    /// The value.
    pub value: f64,
    /// Its unit.
    pub unit: SmolStr,
    /// The command that produced it, or the reason for an estimate.
    pub from: String,
    /// Whether it was measured; an estimate is marked in every row that uses it.
    pub measured: bool,
}

/// All values of the file by name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Measures {
    values: collections::BTreeMap<SmolStr, Measure>,
}

/// A measurement that the table needs is not in the file.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the measurement `{0}` is missing")]
pub struct Missing(pub SmolStr);

/// A number that knows whether it depends on measurements only.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// The number.
    pub value: f64,
    /// Whether all values from which it was computed were measured.
    pub measured: bool,
}

impl Measures {
    /// The value called `name`.
    pub fn get(&self, name: &str) -> Result<Figure, Missing> {
        let measure = self.values.get(name).ok_or_else(|| Missing(name.into()))?;
        Ok(Figure { value: measure.value, measured: measure.measured })
    }
}

impl Figure {
    /// A number that is given by the design, which counts as measured.
    pub const fn given(value: f64) -> Self {
        Self { value, measured: true }
    }
}

impl std::ops::Add for Figure {
    type Output = Figure;

    fn add(self, other: Figure) -> Figure {
        Figure { value: self.value + other.value, measured: self.measured && other.measured }
    }
}

impl std::ops::Mul for Figure {
    type Output = Figure;

    fn mul(self, other: Figure) -> Figure {
        Figure { value: self.value * other.value, measured: self.measured && other.measured }
    }
}

impl std::ops::Mul<f64> for Figure {
    type Output = Figure;

    fn mul(self, factor: f64) -> Figure {
        Figure { value: self.value * factor, ..self }
    }
}
