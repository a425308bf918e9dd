//! Reads the settings of a router tier from a Jsonnet template. The template is evaluated in this process, so
//! it may not import files, and one that is too long, too deeply nested or able to loop is rejected before it
//! is evaluated.

use crate::{lookup, optional, required};
use jrsonnet_evaluator::EvaluationState;
use serde_json::Value;

/// Settings of a router tier.
#[derive(Clone, Debug, PartialEq)]
pub struct TierOptions {
    /// Authenticates datagrams; if set, datagrams that are not authenticated with it are dropped.
    pub key: Option<Vec<u8>>,
    /// Interval between probes of members.
    pub probe_period_ms: f64,
    /// Number of members to which new facts are sent immediately, in urgent datagrams.
    pub fanout: usize,
    /// Number of urgent datagrams that may be sent in one burst.
    pub urgent_burst: f64,
    /// Rate of urgent datagrams beyond the burst.
    pub urgent_per_second: f64,
    /// Other routers that must report a host as unresponsive before it counts as such.
    pub unresponsive_quorum: usize,
    /// Whether routers exchange how long they have heard nothing of each zone, and judge zones by it.
    pub zone_evidence: bool,
    /// Whether routers ask one another for primaries that they do not know while primaries are changing.
    pub pull_facts: bool,
}

/// Longest template; the evaluator can take minutes on longer ones.
const MAX_TEMPLATE_BYTES: usize = 16 * 1024;
/// Deepest nesting of brackets; the evaluator can take minutes on deeper ones.
const MAX_BRACKET_DEPTH: usize = 24;
const MIN_KEY_BYTES: usize = 8;

/// The deepest nesting of brackets, unclosed ones included. Brackets inside strings and comments count too,
/// which can only reject more templates.
fn bracket_depth(text: &str) -> usize {
    let (mut depth, mut deepest) = (0usize, 0);
    for c in text.bytes() {
        match c {
            b'(' | b'[' | b'{' => depth += 1,
            b')' | b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(depth);
    }
    deepest
}

/// Evaluates a template and reads its settings; `None` if it states `on: false`. Errors name the key.
pub fn parse(text: &str) -> Result<Option<TierOptions>, String> {
    if text.len() > MAX_TEMPLATE_BYTES || bracket_depth(text) > MAX_BRACKET_DEPTH {
        return Err(format!(
            "a tier template has at most {MAX_TEMPLATE_BYTES} bytes and {MAX_BRACKET_DEPTH} nested brackets"
        ));
    }
    if ["import", "std.range", "std.repeat", "std.makeArray", "function", "local "]
        .iter()
        .any(|keyword| text.contains(keyword))
    {
        // A template that can compute could also run forever.
        return Err("a tier template sets values and computes none".into());
    }
    // No import resolver and no Jsonnet standard library: tier templates need neither.
    let state = EvaluationState::default();
    let name = std::path::PathBuf::from("tier").into();
    let value = state.evaluate_snippet_raw(name, text.into()).and_then(|value| state.manifest(value));
    let json = value.map_err(|e| format!("invalid template: {}", e.error()))?;
    let root: Value = serde_json::from_str(&json).map_err(|e| e.to_string())?;
    parse_value(&root)
}

fn number(root: &Value, key: &str, default: f64, min: f64, max: f64) -> Result<f64, String> {
    let value = optional(root, key, Value::as_f64, default)?;
    let in_range = (min..=max).contains(&value);
    if in_range {
        Ok(value)
    } else {
        Err(format!("settings key '{key}' is out of range: {value}, {min} to {max}"))
    }
}

fn parse_value(root: &Value) -> Result<Option<TierOptions>, String> {
    const KEYS: [&str; 9] =
        ["on", "key", "period_ms", "fan", "burst", "refill", "silent", "zone_evidence", "pull_facts"];
    let object = root.as_object().ok_or("a tier template must be an object")?;
    if let Some(unknown) = object.keys().find(|key| !KEYS.contains(&key.as_str())) {
        return Err(format!("settings key '{unknown}' is unknown"));
    }
    let is_on = required(root, "on", Value::as_bool)?;
    let key = lookup(root, "key").map(|_| required(root, "key", Value::as_str)).transpose()?;
    if key.is_some_and(|k| k.len() < MIN_KEY_BYTES) {
        return Err(format!("settings key 'key' is shorter than {MIN_KEY_BYTES} bytes"));
    }
    let options = TierOptions {
        key: key.map(|k| k.as_bytes().to_vec()),
        probe_period_ms: number(root, "period_ms", 1_250.0, 100.0, 60_000.0)?,
        fanout: number(root, "fan", 4.0, 1.0, 16.0)? as usize,
        urgent_burst: number(root, "burst", 8.0, 1.0, 1_000.0)?,
        urgent_per_second: number(root, "refill", 4.0, 0.1, 100.0)?,
        unresponsive_quorum: number(root, "silent", 2.0, 1.0, 4.0)? as usize,
        zone_evidence: optional(root, "zone_evidence", Value::as_bool, false)?,
        pull_facts: optional(root, "pull_facts", Value::as_bool, false)?,
    };
    let silence_ms =
        magpiewell_zones::Limits::for_probe_period(options.probe_period_ms, f64::INFINITY).silent_after_ms;
    if options.zone_evidence && silence_ms > magpiewell_zones::Age::MAX_SILENCE_MS {
        return Err(format!(
            "settings key 'period_ms' is too long for 'zone_evidence': {} means {silence_ms} ms of silence, \
             at most {}",
            options.probe_period_ms,
            magpiewell_zones::Age::MAX_SILENCE_MS
        ));
    }
    if options.urgent_burst < options.fanout as f64 {
        return Err("settings key 'burst' is less than 'fan': urgent datagrams would never be sent".into());
    }
    Ok(is_on.then_some(options))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn templates_are_read_and_faulty_ones_are_rejected_by_key() {
        let options = parse("{ on: true, fan: 2 + 1, key: 'long enough' }").unwrap().unwrap();
        assert_eq!((options.fanout, options.probe_period_ms), (3, 1_250.0));
        assert!(!options.zone_evidence && !options.pull_facts);
        assert!(parse("{ on: true, zone_evidence: true, period_ms: 2000 }").unwrap().unwrap().zone_evidence);
        assert_eq!(parse("{ on: false }"), Ok(None));
        for (text, expected) in [
            ("{ }", "'on'"),
            ("{ on: 1 }", "'on'"),
            ("{ on: true, fam: 3 }", "'fam'"),
            ("{ on: true, fan: 99 }", "'fan'"),
            ("{ on: true, key: 'k' }", "'key'"),
            ("{ on: true, fan: 9, burst: 3 }", "'burst'"),
            ("{ on: true, zone_evidence: 1 }", "'zone_evidence'"),
            ("{ on: true, pull_facts: 'yes' }", "'pull_facts'"),
            ("{ on: true, zone_evidence: true, period_ms: 2001 }", "'period_ms'"),
            ("{ on: true", "template"),
            ("import 'other'", "computes"),
            ("{ on: std.length(std.range(1, 1000000000)) > 1 }", "computes"),
        ] {
            let error = parse(text).unwrap_err();
            assert!(error.contains(expected), "{text}: {error}");
        }
        // The evaluator takes minutes on 60,000 open brackets.
        assert!(parse(&"[".repeat(60_000)).is_err() && parse(&"[".repeat(1_000)).is_err());
    }

    #[test]
    fn the_template_under_deploy_is_valid() {
        let text = include_str!("../../../deploy/tier.jsonnet");
        assert!(parse(text).unwrap().is_some());
    }
}
