//! The one place where configuration is read, checked and given defaults; errors name the faulty key.

pub mod settings;
pub mod startup;
pub mod tier;

use serde_json::Value;

fn at<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(root, |v, key| v.get(key)).filter(|v| !v.is_null())
}

fn need<'a, T>(root: &'a Value, path: &str, get: impl Fn(&'a Value) -> Option<T>) -> Result<T, String> {
    let value = at(root, path).ok_or(format!("settings lack '{path}'"))?;
    get(value).ok_or(format!("settings key '{path}' has the wrong type"))
}

/// An optional key: absent takes the given meaning, ill-typed is still an error.
fn may<'a, T>(root: &'a Value, path: &str, get: impl Fn(&'a Value) -> Option<T>, or: T) -> Result<T, String> {
    if at(root, path).is_none() { Ok(or) } else { need(root, path, get) }
}

/// A length of time, in seconds there and ms here.
fn ms(root: &Value, path: &str) -> Result<f64, String> {
    in_ms(path, need(root, path, Value::as_f64)?)
}

/// An optional one; absent takes the given meaning, in seconds.
fn may_ms(root: &Value, path: &str, or: f64) -> Result<f64, String> {
    in_ms(path, may(root, path, Value::as_f64, or)?)
}

fn in_ms(path: &str, seconds: f64) -> Result<f64, String> {
    let fits = (0.0..=1e6).contains(&seconds);
    if fits { Ok(seconds * 1000.0) } else { Err(format!("settings key '{path}' is out of range: {seconds}")) }
}
