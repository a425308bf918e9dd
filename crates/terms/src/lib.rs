//! Reads, checks and defaults all configuration of a router. Errors name the faulty key.

pub mod settings;
pub mod startup;
pub mod tier;

use serde_json::Value;

/// The value at a dotted path; null counts as absent.
fn lookup<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(root, |value, key| value.get(key)).filter(|value| !value.is_null())
}

fn required<'a, T>(
    root: &'a Value,
    path: &str,
    convert: impl Fn(&'a Value) -> Option<T>,
) -> Result<T, String> {
    let value = lookup(root, path).ok_or(format!("settings lack '{path}'"))?;
    convert(value).ok_or(format!("settings key '{path}' has the wrong type"))
}

/// An optional key: the default applies if it is absent; a wrong type is an error.
fn optional<'a, T>(
    root: &'a Value,
    path: &str,
    convert: impl Fn(&'a Value) -> Option<T>,
    default: T,
) -> Result<T, String> {
    if lookup(root, path).is_none() { Ok(default) } else { required(root, path, convert) }
}

/// A required duration: the settings state seconds, the result is in ms.
fn required_ms(root: &Value, path: &str) -> Result<f64, String> {
    seconds_to_ms(path, required(root, path, Value::as_f64)?)
}

/// An optional duration: the settings and the default are in seconds, the result is in ms.
fn optional_ms(root: &Value, path: &str, default_seconds: f64) -> Result<f64, String> {
    seconds_to_ms(path, optional(root, path, Value::as_f64, default_seconds)?)
}

fn seconds_to_ms(path: &str, seconds: f64) -> Result<f64, String> {
    let in_range = (0.0..=1e6).contains(&seconds);
    if in_range {
        Ok(seconds * 1000.0)
    } else {
        Err(format!("settings key '{path}' is out of range: {seconds}"))
    }
}
