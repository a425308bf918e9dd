//! Reads our own settings of a tier, from a Jsonnet template that is evaluated in the process itself: no file is imported,
//! and a template that is too long, too deep or too slow to be one of ours is refused before it is evaluated.

use crate::{at, may, need};
use jrsonnet_evaluator::EvaluationState;
use serde_json::Value;

/// What a tier is set to; times in ms.
#[derive(Clone, Debug, PartialEq)]
pub struct TierOptions {
    /// Where a key is set, datagrams without it are dropped.
    pub key: Option<Vec<u8>>,
    /// One probe of a member goes out so often.
    pub probe_period_ms: f64,
    /// Members that are told at once what is new; datagrams for that which may go out together, and in a second.
    pub fanout: usize,
    pub urgent_burst: f64,
    pub urgent_per_second: f64,
    /// Others that must say so before a host counts as silent.
    pub unresponsive_quorum: usize,
    /// Whether routers tell one another how long each zone has been silent, and judge zones by it.
    pub zone_evidence: bool,
    /// Whether routers ask one another for primaries that they lack while primaries are changing.
    pub pull_facts: bool,
}

/// Longest template, and how deep its brackets may go: beyond either the evaluator can take minutes.
const BYTES: usize = 16 * 1024;
const DEEP: usize = 24;
const LEAST_KEY: usize = 8;

/// Brackets never closed count as well; those inside texts and comments are counted too, which only refuses more.
fn depth(text: &str) -> usize {
    let (mut depth, mut most) = (0usize, 0);
    for c in text.bytes() {
        match c {
            b'(' | b'[' | b'{' => depth += 1,
            b')' | b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        most = most.max(depth);
    }
    most
}

/// Evaluates a template and reads what it says; none where it says `on: false`. Errors name the key.
pub fn parse(text: &str) -> Result<Option<TierOptions>, String> {
    if text.len() > BYTES || depth(text) > DEEP {
        return Err(format!("a template has at most {BYTES} bytes and brackets {DEEP} deep"));
    }
    if ["import", "std.range", "std.repeat", "std.makeArray", "function", "local "]
        .iter()
        .any(|w| text.contains(w))
    {
        // One of ours says what it sets; what it can compute could also go on for ever.
        return Err("a template of a tier sets values and computes none".into());
    }
    // Without a resolver of imports, and without the standard library's own sources: nothing here needs them.
    let state = EvaluationState::default();
    let name = std::path::PathBuf::from("tier").into();
    let value = state.evaluate_snippet_raw(name, text.into()).and_then(|value| state.manifest(value));
    let json = value.map_err(|e| format!("no template: {}", e.error()))?;
    let root: Value = serde_json::from_str(&json).map_err(|e| e.to_string())?;
    read_keys(&root)
}

fn number(root: &Value, key: &str, or: f64, least: f64, most: f64) -> Result<f64, String> {
    let value = may(root, key, Value::as_f64, or)?;
    let fits = (least..=most).contains(&value);
    if fits {
        Ok(value)
    } else {
        Err(format!("settings key '{key}' is out of range: {value}, {least} to {most}"))
    }
}

fn read_keys(root: &Value) -> Result<Option<TierOptions>, String> {
    const KEYS: [&str; 9] =
        ["on", "key", "period_ms", "fan", "burst", "refill", "silent", "zone_evidence", "pull_facts"];
    let object = root.as_object().ok_or("a template of a tier is an object")?;
    if let Some(odd) = object.keys().find(|key| !KEYS.contains(&key.as_str())) {
        return Err(format!("settings key '{odd}' is unknown"));
    }
    let on = need(root, "on", Value::as_bool)?;
    let key = at(root, "key").map(|_| need(root, "key", Value::as_str)).transpose()?;
    if key.is_some_and(|k| k.len() < LEAST_KEY) {
        return Err(format!("settings key 'key' is shorter than {LEAST_KEY} bytes"));
    }
    let terms = TierOptions {
        key: key.map(|k| k.as_bytes().to_vec()),
        probe_period_ms: number(root, "period_ms", 1_250.0, 100.0, 60_000.0)?,
        fanout: number(root, "fan", 4.0, 1.0, 16.0)? as usize,
        urgent_burst: number(root, "burst", 8.0, 1.0, 1_000.0)?,
        urgent_per_second: number(root, "refill", 4.0, 0.1, 100.0)?,
        unresponsive_quorum: number(root, "silent", 2.0, 1.0, 4.0)? as usize,
        zone_evidence: may(root, "zone_evidence", Value::as_bool, false)?,
        pull_facts: may(root, "pull_facts", Value::as_bool, false)?,
    };
    let silence = magpiewell_zones::Limits::for_probe_period(terms.probe_period_ms, f64::INFINITY).silence;
    if terms.zone_evidence && silence > magpiewell_zones::Age::MAX_SILENCE_MS {
        return Err(format!(
            "settings key 'period_ms' is too long for 'zone_evidence': {} means {silence} ms of silence, at most {}",
            terms.probe_period_ms,
            magpiewell_zones::Age::MAX_SILENCE_MS
        ));
    }
    if terms.urgent_burst < terms.fanout as f64 {
        return Err("settings key 'burst' is less than 'fan': nothing new would ever be told".into());
    }
    Ok(on.then_some(terms))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_template_says_what_it_sets_and_a_faulty_one_names_its_key() {
        let terms = parse("{ on: true, fan: 2 + 1, key: 'long enough' }").unwrap().unwrap();
        assert_eq!((terms.fanout, terms.probe_period_ms), (3, 1_250.0));
        assert!(!terms.zone_evidence && !terms.pull_facts);
        assert!(parse("{ on: true, zone_evidence: true, period_ms: 2000 }").unwrap().unwrap().zone_evidence);
        assert_eq!(parse("{ on: false }"), Ok(None));
        for (text, named) in [
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
            let why = parse(text).unwrap_err();
            assert!(why.contains(named), "{text}: {why}");
        }
        // Sixty thousand open brackets once kept the evaluator busy for minutes.
        assert!(parse(&"[".repeat(60_000)).is_err() && parse(&"[".repeat(1_000)).is_err());
    }

    #[test]
    fn the_template_under_deploy_is_one() {
        let text = include_str!("../../../deploy/tier.jsonnet");
        assert!(parse(text).unwrap().is_some());
    }
}
