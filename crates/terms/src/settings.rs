//! Reads the settings that tell what a deployment allows and asks.

use crate::{lookup, optional, optional_ms, required, required_ms, seconds_to_ms};
use magpiewell::{Consistency, OpTypeSpec, PolicyOptions, Retryability};
use serde_json::Value;

/// What is needed at the door, beside the module's own terms.
pub struct AdapterOptions {
    pub position_origin_ms: f64,
    pub clients_report_writes: bool,
    pub clients_mark_retries: bool,
    /// Places of position and role among a report's values.
    pub report_position_index: Option<usize>,
    pub report_role_index: Option<usize>,
    /// The zones that routers are in, by number.
    pub zone_names: Vec<String>,
    /// Per op type: how much the target grows with an op's work, and the longest wait, in ms.
    pub target_growth: Vec<f64>,
    pub op_timeouts_ms: Vec<f64>,
    /// Names by which ops state their type and their tenant, by index.
    pub op_type_names: Vec<String>,
    pub tenant_names: Vec<String>,
    /// Per op type: its ops belong to sessions.
    pub has_session: Vec<bool>,
    /// Per op type: it writes; its ops carry a token against repeats.
    pub is_write: Vec<bool>,
    pub is_tokened: Vec<bool>,
    /// Hosts close connections idle for so long; and how long a connection may take to open.
    pub conn_idle_timeout_ms: f64,
    pub connect_timeout_ms: f64,
}

fn op_type(class: &Value, level: &Value, bound: f64) -> Result<(OpTypeSpec, f64, f64), String> {
    let name = |e: String| e.replace("settings", "settings of an op type");
    let level = match level.as_str() {
        Some("write") => Consistency::Write,
        Some("fresh") => Consistency::Fresh,
        Some("session") => Consistency::Session,
        Some("bounded") => Consistency::Bounded,
        Some("any") => Consistency::Any,
        _ => return Err("settings key 'extra.read_level' has an unknown level".into()),
    };
    let repeat = match required(class, "effect", Value::as_str).map_err(name)? {
        "free" => Retryability::Retryable,
        "guarded" => Retryability::Tokened {
            window_ms: required_ms(class, "window_s").map_err(name)?,
            anywhere: optional(class, "group", Value::as_str, "cell").map_err(name)? == "all",
        },
        "single_shot" => Retryability::NonRetryable,
        other => return Err(format!("settings key 'effect' says '{other}'")),
    };
    // Where no bound applies, what stands there says nothing.
    let bound_ms =
        if level == Consistency::Bounded { seconds_to_ms("extra.staleness_bound_s", bound)? } else { 0.0 };
    let facts = OpTypeSpec {
        consistency: level,
        retryability: repeat,
        staleness_bound_ms: bound_ms,
        latency_target_ms: required_ms(class, "goal_time_s").map_err(name)?,
        value: required(class, "value", Value::as_f64).map_err(name)?,
        late_value: optional(class, "late_worth", Value::as_f64, 0.0).map_err(name)?,
    };
    let stretch = optional(class, "aim_stretch", Value::as_f64, 0.0).map_err(name)?;
    Ok((facts, stretch, required_ms(class, "deadline_s").map_err(name)?))
}

/// Reads them from text.
pub fn parse(text: &[u8]) -> Result<(PolicyOptions, AdapterOptions), String> {
    let root: Value = serde_json::from_slice(text).map_err(|e| format!("settings are not JSON: {e}"))?;
    parse_value(&root)
}

/// Reads them where they stand inside something larger.
pub fn parse_value(root: &Value) -> Result<(PolicyOptions, AdapterOptions), String> {
    let classes = required(root, "classes", Value::as_array)?;
    let levels = required(root, "extra.read_level", Value::as_array)?;
    let bounds = required(root, "extra.staleness_bound_s", Value::as_array)?;
    if levels.len() != classes.len() || bounds.len() != classes.len() {
        return Err(
            "settings keys 'extra.read_level', 'extra.staleness_bound_s' don't match 'classes'".into()
        );
    }
    let (mut op_types, mut target_growth, mut op_timeouts_ms) = (Vec::new(), Vec::new(), Vec::new());
    for ((class, level), bound) in classes.iter().zip(levels).zip(bounds) {
        let bound = bound.as_f64().ok_or("settings key 'extra.staleness_bound_s' has the wrong type")?;
        let (facts, growth, timeout) = op_type(class, level, bound)?;
        op_types.push(facts);
        target_growth.push(growth);
        op_timeouts_ms.push(timeout);
    }
    let name = |value: &Value| optional(value, "name", Value::as_str, "").map(str::to_string);
    let op_type_names = classes.iter().map(name).collect::<Result<_, _>>()?;
    let (mut tenant_rates, mut tenant_names) = (Vec::new(), Vec::new());
    let none = Vec::new();
    for tenant in optional(root, "tenants", Value::as_array, &none)? {
        tenant_rates.push(required(tenant, "quota_rps", Value::as_f64)?);
        tenant_names.push(name(tenant)?);
    }
    let zones = optional(root, "areas", Value::as_array, &none)?.iter();
    let zone_names: Vec<String> = zones
        .map(|zone| zone.as_str().map(str::to_string).ok_or("settings key 'areas' has the wrong type"))
        .collect::<Result<_, _>>()?;
    let zone = optional(root, "az", Value::as_u64, u64::MAX)?;
    let asks = required(root, "discovery", Value::as_str)? == "subscribe";
    let retry_after = optional(root, "limits.retry_after", Value::as_bool, false)?;
    let terms = PolicyOptions {
        routers: required(root, "balancers", Value::as_f64)?.max(1.0),
        zone_count: zone_names.len().max(1),
        zone: usize::try_from(zone).unwrap_or(usize::MAX),
        tick_ms: required_ms(root, "tick_s")?,
        op_types,
        tenant_rates,
        over_share_value: optional(root, "over_share_worth", Value::as_f64, 1.0)?,
        max_sends: required(root, "limits.max_attempts", Value::as_u64)? as usize,
        may_hedge: optional(root, "limits.second_copies", Value::as_bool, false)?,
        may_withdraw: optional(root, "limits.may_cancel", Value::as_bool, false)?,
        may_probe: optional(root, "limits.probes", Value::as_bool, false)?,
        probe_price: optional(root, "charges.probe", Value::as_f64, 0.0)?,
        connection_price: optional(root, "charges.handshake", Value::as_f64, 0.0)?,
        cross_zone_price: optional(root, "charges.cross_zone", Value::as_f64, 0.0)?,
        max_retry_after_ms: if retry_after { required_ms(root, "limits.max_retry_after_s")? } else { 0.0 },
        drain_grace_ms: required_ms(root, "rules.drain_grace_s")?,
        gone_is_binding: !optional(root, "rules.dropped_stay_open", Value::as_bool, false)?,
        list_poll_interval_ms: if asks { Some(required_ms(root, "rules.ask_every_s")?) } else { None },
        cold_capacity_share: required(root, "rules.cold_from", Value::as_f64)?,
        warmup_ms: required_ms(root, "rules.cold_s")?,
        overload_multiple: required(root, "rules.fall_multiple", Value::as_f64)?,
        overload_window_ms: required_ms(root, "rules.fall_s")?,
        hosts_reject_stale_reads: required(root, "extra.behind", Value::as_str)? != "off",
        track_session_writes: optional(root, "extra.write_marks", Value::as_str, "remembered")?
            == "remembered",
    };
    let place = |name: &str| -> Option<usize> {
        lookup(root, "report.fields")?.as_array()?.iter().position(|field| field.as_str() == Some(name))
    };
    let adapter_options = AdapterOptions {
        position_origin_ms: optional(root, "extra.origin_time_s", Value::as_f64, 0.0)? * 1000.0,
        clients_report_writes: !terms.track_session_writes,
        clients_mark_retries: optional(root, "clients.marks_retry", Value::as_bool, false)?,
        report_position_index: place("x0"),
        report_role_index: place("x1"),
        zone_names,
        target_growth,
        op_timeouts_ms,
        op_type_names,
        tenant_names,
        has_session: terms
            .op_types
            .iter()
            .map(|t| matches!(t.consistency, Consistency::Write | Consistency::Session))
            .collect(),
        is_write: terms.op_types.iter().map(|t| t.consistency == Consistency::Write).collect(),
        is_tokened: terms
            .op_types
            .iter()
            .map(|t| matches!(t.retryability, Retryability::Tokened { .. }))
            .collect(),
        conn_idle_timeout_ms: optional_ms(root, "limits.conn_idle_s", 30.0)?,
        connect_timeout_ms: optional_ms(root, "limits.dial_timeout_s", 1.0)?,
    };
    Ok((terms, adapter_options))
}
