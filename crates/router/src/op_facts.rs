//! Admits statements: finds their facts and maps names to small numbers.

use magpiewell_pg::statement;
use magpiewell_terms::settings::AdapterOptions;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;

/// What ops may say, as the settings name it.
pub struct OpFactsParser {
    types: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
    sessions: Vec<bool>,
    writes: Vec<bool>,
    tokened: Vec<bool>,
    marks_repeats: bool,
    wait_most_ms: f64,
}

/// What a statement says of its op.
pub struct OpFacts {
    /// The op's own id, as a number; no two open ops have the same.
    pub id: u64,
    pub op_type: usize,
    pub tenant: usize,
    pub cluster: u64,
    pub session: u64,
    pub client_timeout_ms: f64,
    /// Commit of the session's last write, as Unix ms.
    pub after: Option<f64>,
    pub is_retry: Option<bool>,
    pub writes: bool,
    /// Where the wait stands in the statement.
    pub client_timeout_range: Range<usize>,
}

impl OpFactsParser {
    pub fn new(fields: &AdapterOptions, wait_most_ms: f64) -> OpFactsParser {
        let index = |names: &[String]| names.iter().cloned().zip(0..).collect();
        OpFactsParser {
            types: index(&fields.op_type_names),
            tenants: index(&fields.tenant_names),
            sessions: fields.has_session.clone(),
            writes: fields.is_write.clone(),
            tokened: fields.is_tokened.clone(),
            marks_repeats: fields.clients_mark_retries,
            wait_most_ms,
        }
    }

    /// The facts, or what is wrong with the statement.
    pub fn parse(&self, text: &str) -> Result<OpFacts, String> {
        let found = statement::parse(text)?;
        let (mut kind, mut tenant, mut cluster, mut wait) = (None, None, None, None);
        let (mut id, mut after, mut repeat, mut token) = (None, None, false, false);
        let mut seen: Vec<&str> = Vec::with_capacity(8);
        for (name, at) in statement::attributes(text, found.comment) {
            let value = &text[at.clone()];
            let wrong = || format!("fact '{name}' has no usable value");
            if name.is_empty() || seen.contains(&name) {
                return Err("a fact that is none, or is told twice".into());
            }
            seen.push(name);
            match name {
                "id" => id = Some(value).filter(|id| !id.is_empty()),
                "k" => token = !value.is_empty(),
                "c" => kind = Some(*self.types.get(value).ok_or_else(wrong)?),
                "t" => tenant = Some(*self.tenants.get(value).ok_or_else(wrong)?),
                "cluster" => cluster = Some(plain(value).and_then(|v| v.parse().ok()).ok_or_else(wrong)?),
                "d" => {
                    let ms = plain(value).and_then(|v| v.parse().ok()).ok_or_else(wrong)?;
                    if !(0.0..=self.wait_most_ms).contains(&ms) {
                        return Err(wrong());
                    }
                    wait = Some((ms, at));
                }
                "after" => {
                    let ms = plain(value).and_then(|v| v.parse().ok()).ok_or_else(wrong)?;
                    after = Some(ms).filter(|ms: &f64| ms.is_finite());
                }
                "r" => repeat = matches!(value, "1").then_some(true).ok_or_else(wrong)?,
                _ => {}
            }
        }
        let kind = kind.ok_or("fact 'c' is missing")?;
        let (wait_ms, wait_at) = wait.ok_or("fact 'd' is missing")?;
        if tenant.is_none() && !self.tenants.is_empty() {
            return Err("fact 't' is missing".into());
        }
        if found.writes != self.writes[kind] {
            return Err("the statement does not do what its op type says".into());
        }
        if self.tokened[kind] && !token {
            return Err("fact 'k' is missing".into());
        }
        Ok(OpFacts {
            id: number(id.ok_or("fact 'id' is missing")?),
            op_type: kind,
            tenant: tenant.unwrap_or(0),
            cluster: cluster.ok_or("fact 'cluster' is missing")?,
            session: if self.sessions[kind] { number(&text[found.key]) } else { 0 },
            client_timeout_ms: wait_ms,
            after,
            is_retry: self.marks_repeats.then_some(repeat),
            writes: found.writes,
            client_timeout_range: wait_at,
        })
    }
}

/// A number in plain digits, maybe with a point: no sign, no exponent, no word.
fn plain(value: &str) -> Option<&str> {
    let digits = value.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    (digits && value.starts_with(|c: char| c.is_ascii_digit())).then_some(value)
}

fn number(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish().max(1)
}
