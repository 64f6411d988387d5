//! Tests of the picker.
