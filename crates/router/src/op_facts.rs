//! Parses a client's statement: reads the facts in its comment and maps names to indexes.

use magpiewell_pg::statement;
use magpiewell_terms::settings::AdapterOptions;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;

/// Facts that a statement may state; usual statements have eight at most.
const MAX_FACTS: usize = 32;

/// Parses and checks the facts of ops against the op types and tenants of the settings.
pub struct OpFactsParser {
    op_types: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
    has_session: Vec<bool>,
    is_write: Vec<bool>,
    is_tokened: Vec<bool>,
    clients_mark_retries: bool,
    max_client_timeout_ms: f64,
}

/// The facts that a statement states about its op.
pub struct OpFacts {
    /// Hash of the id that the client gave the op; no two open ops may have the same.
    pub id: u64,
    /// Index of the op type in the settings.
    pub op_type: usize,
    /// Index of the tenant in the settings; 0 if the settings name no tenants.
    pub tenant: usize,
    /// Key of the group in the host list.
    pub group_key: u64,
    /// Hash of the statement's key if the op type has sessions, else 0.
    pub session: u64,
    pub client_timeout_ms: f64,
    /// When the session's last write was committed, in Unix ms.
    pub last_write_at: Option<f64>,
    /// Whether the op is a retry; `None` unless the settings say that clients mark retries.
    pub is_retry: Option<bool>,
    pub is_write: bool,
    /// Position of the client timeout in the statement's text.
    pub client_timeout_range: Range<usize>,
}

impl OpFactsParser {
    pub fn new(adapter_options: &AdapterOptions, max_client_timeout_ms: f64) -> OpFactsParser {
        let index = |names: &[String]| names.iter().cloned().zip(0..).collect();
        OpFactsParser {
            op_types: index(&adapter_options.op_type_names),
            tenants: index(&adapter_options.tenant_names),
            has_session: adapter_options.has_session.clone(),
            is_write: adapter_options.is_write.clone(),
            is_tokened: adapter_options.is_tokened.clone(),
            clients_mark_retries: adapter_options.clients_mark_retries,
            max_client_timeout_ms,
        }
    }

    /// Returns the op's facts, or what is wrong with the statement.
    pub fn parse(&self, text: &str) -> Result<OpFacts, String> {
        let statement = statement::parse(text)?;
        let (mut op_type, mut tenant, mut group_key, mut client_timeout) = (None, None, None, None);
        let (mut id, mut last_write_at, mut is_retry, mut has_token) = (None, None, false, false);
        let mut seen: Vec<&str> = Vec::with_capacity(8);
        for (name, range) in statement::attributes(text, statement.comment) {
            let value = &text[range.clone()];
            let invalid = || format!("fact '{name}' has no usable value");
            if seen.len() == MAX_FACTS {
                return Err(format!("more than {MAX_FACTS} facts"));
            }
            if name.is_empty() || seen.contains(&name) {
                return Err("a fact that is none, or is told twice".into());
            }
            seen.push(name);
            match name {
                "id" => id = Some(value).filter(|id| !id.is_empty()),
                "k" => has_token = !value.is_empty(),
                "c" => op_type = Some(*self.op_types.get(value).ok_or_else(invalid)?),
                "t" => tenant = Some(*self.tenants.get(value).ok_or_else(invalid)?),
                "cluster" => {
                    group_key = Some(decimal(value).and_then(|v| v.parse().ok()).ok_or_else(invalid)?)
                }
                "d" => {
                    let ms = decimal(value).and_then(|v| v.parse().ok()).ok_or_else(invalid)?;
                    if !(0.0..=self.max_client_timeout_ms).contains(&ms) {
                        return Err(invalid());
                    }
                    client_timeout = Some((ms, range));
                }
                "after" => {
                    let ms = decimal(value).and_then(|v| v.parse().ok()).ok_or_else(invalid)?;
                    last_write_at = Some(ms).filter(|ms: &f64| ms.is_finite());
                }
                "r" => is_retry = matches!(value, "1").then_some(true).ok_or_else(invalid)?,
                _ => {}
            }
        }
        let op_type = op_type.ok_or("fact 'c' is missing")?;
        let (client_timeout_ms, client_timeout_range) = client_timeout.ok_or("fact 'd' is missing")?;
        if tenant.is_none() && !self.tenants.is_empty() {
            return Err("fact 't' is missing".into());
        }
        if statement.is_write != self.is_write[op_type] {
            return Err("the statement does not do what its op type says".into());
        }
        if self.is_tokened[op_type] && !has_token {
            return Err("fact 'k' is missing".into());
        }
        Ok(OpFacts {
            id: hash_name(id.ok_or("fact 'id' is missing")?),
            op_type,
            tenant: tenant.unwrap_or(0),
            group_key: group_key.ok_or("fact 'cluster' is missing")?,
            session: if self.has_session[op_type] { hash_name(&text[statement.key]) } else { 0 },
            client_timeout_ms,
            last_write_at,
            is_retry: self.clients_mark_retries.then_some(is_retry),
            is_write: statement.is_write,
            client_timeout_range,
        })
    }
}

/// Accepts an unsigned decimal number: digits, possibly with a point; no sign, exponent or word.
fn decimal(value: &str) -> Option<&str> {
    let digits = value.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    (digits && value.starts_with(|c: char| c.is_ascii_digit())).then_some(value)
}

fn hash_name(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish().max(1)
}

#[cfg(test)]
mod tests;
