//! Admits statements: finds their facts and maps names to small numbers.

use magpiewell_pg::head;
use magpiewell_terms::settings::Fields;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;

/// What ops may say, as the settings name it.
pub struct Names {
    types: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
    sessions: Vec<bool>,
    marks_repeats: bool,
    wait_most_ms: f64,
}

/// What a statement says of its op.
pub struct Facts {
    pub kind: usize,
    pub tenant: usize,
    pub cluster: u64,
    pub session: u64,
    pub wait_ms: f64,
    /// Commit of the session's last write, as Unix ms.
    pub after: Option<f64>,
    pub repeat: Option<bool>,
    /// Where the wait stands in the statement.
    pub wait_at: Range<usize>,
}

impl Names {
    pub fn new(fields: &Fields, wait_most_ms: f64) -> Names {
        let index = |names: &[String]| names.iter().cloned().zip(0..).collect();
        Names {
            types: index(&fields.type_names),
            tenants: index(&fields.tenant_names),
            sessions: fields.sessions.clone(),
            marks_repeats: fields.marks_repeats,
            wait_most_ms,
        }
    }

    /// The facts, or what is wrong with the statement.
    pub fn admit(&self, text: &str) -> Result<Facts, String> {
        let (quoted, comment) = head::scan(text)?;
        let comment = comment.ok_or("no comment with the op's facts")?;
        let (mut kind, mut tenant, mut cluster, mut wait) = (None, None, None, None);
        let (mut after, mut repeat) = (None, false);
        for (name, at) in head::facts(text, comment) {
            let value = &text[at.clone()];
            let wrong = || format!("fact '{name}' has no usable value");
            match name {
                "c" => kind = Some(*self.types.get(value).ok_or_else(wrong)?),
                "t" => tenant = Some(*self.tenants.get(value).ok_or_else(wrong)?),
                "cluster" => cluster = Some(value.parse().map_err(|_| wrong())?),
                "d" => {
                    let ms: f64 = value.parse().map_err(|_| wrong())?;
                    let fits = (0.0..=self.wait_most_ms).contains(&ms);
                    wait = Some((ms, at).clone()).filter(|_| fits);
                    if wait.is_none() {
                        return Err(wrong());
                    }
                }
                "after" => {
                    let ms: f64 = value.parse().map_err(|_| wrong())?;
                    after = Some(ms).filter(|ms| ms.is_finite());
                }
                "r" => repeat = value == "1",
                _ => {}
            }
        }
        let kind = kind.ok_or("fact 'c' is missing")?;
        let (wait_ms, wait_at) = wait.ok_or("fact 'd' is missing")?;
        if tenant.is_none() && !self.tenants.is_empty() {
            return Err("fact 't' is missing".into());
        }
        let named = quoted.filter(|_| self.sessions[kind]);
        Ok(Facts {
            kind,
            tenant: tenant.unwrap_or(0),
            cluster: cluster.ok_or("fact 'cluster' is missing")?,
            session: named.map_or(0, |key| number(&text[key])),
            wait_ms,
            after,
            repeat: self.marks_repeats.then_some(repeat),
            wait_at,
        })
    }
}

fn number(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish().max(1)
}
