//! Reads the settings of a deployment: its op types, tenants, zones, limits, prices and rules.

use crate::{lookup, optional, optional_ms, required, required_ms, seconds_to_ms};
use magpiewell::{Consistency, OpTypeSpec, PolicyOptions, Retryability};
use serde_json::Value;

/// Options of the adapter around the policy: how ops and reports on the wire are interpreted, and connection
/// timeouts.
pub struct AdapterOptions {
    /// Point in time to which the log positions that hosts state are relative.
    pub position_origin_ms: f64,
    /// Ops state when their session last wrote; otherwise the router tracks the writes of sessions itself.
    pub clients_report_writes: bool,
    /// Clients mark ops that are retries.
    pub clients_mark_retries: bool,
    /// Index of the log position among the values of a host's report.
    pub report_position_index: Option<usize>,
    /// Index of the role among the values of a host's report.
    pub report_role_index: Option<usize>,
    /// Names of the zones that routers are in, by zone number.
    pub zone_names: Vec<String>,
    /// Per op type: how much the latency target grows per ms of the op's own work.
    pub target_growth: Vec<f64>,
    /// Per op type: the op timeout.
    pub op_timeouts_ms: Vec<f64>,
    /// Names by which ops state their op type, by its index.
    pub op_type_names: Vec<String>,
    /// Names by which ops state their tenant, by its index.
    pub tenant_names: Vec<String>,
    /// Per op type: whether its ops belong to sessions.
    pub has_session: Vec<bool>,
    /// Per op type: whether its ops write.
    pub is_write: Vec<bool>,
    /// Per op type: whether its ops carry a token by which hosts drop duplicates.
    pub is_tokened: Vec<bool>,
    /// Hosts close connections that have been idle for this long.
    pub conn_idle_timeout_ms: f64,
    /// Longest time that opening a connection may take.
    pub connect_timeout_ms: f64,
}

/// Reads one op type: its spec, the growth of its latency target with an op's work, and its op timeout in ms.
fn op_type(class: &Value, level: &Value, bound_s: f64) -> Result<(OpTypeSpec, f64, f64), String> {
    let in_op_type = |e: String| e.replace("settings", "settings of an op type");
    let consistency = match level.as_str() {
        Some("write") => Consistency::Write,
        Some("fresh") => Consistency::Fresh,
        Some("session") => Consistency::Session,
        Some("bounded") => Consistency::Bounded,
        Some("any") => Consistency::Any,
        _ => return Err("settings key 'extra.read_level' has an unknown level".into()),
    };
    let retryability = match required(class, "effect", Value::as_str).map_err(in_op_type)? {
        "free" => Retryability::Retryable,
        "guarded" => Retryability::Tokened {
            window_ms: required_ms(class, "window_s").map_err(in_op_type)?,
            anywhere: optional(class, "group", Value::as_str, "cell").map_err(in_op_type)? == "all",
        },
        "single_shot" => Retryability::NonRetryable,
        other => return Err(format!("settings key 'effect' has the unknown value '{other}'")),
    };
    // The setting has an entry for every op type, but applies to bounded reads only.
    let staleness_bound_ms = if consistency == Consistency::Bounded {
        seconds_to_ms("extra.staleness_bound_s", bound_s)?
    } else {
        0.0
    };
    let spec = OpTypeSpec {
        consistency,
        retryability,
        staleness_bound_ms,
        latency_target_ms: required_ms(class, "goal_time_s").map_err(in_op_type)?,
        value: required(class, "value", Value::as_f64).map_err(in_op_type)?,
        late_value: optional(class, "late_worth", Value::as_f64, 0.0).map_err(in_op_type)?,
    };
    let target_growth = optional(class, "aim_stretch", Value::as_f64, 0.0).map_err(in_op_type)?;
    Ok((spec, target_growth, required_ms(class, "deadline_s").map_err(in_op_type)?))
}

/// Parses settings from JSON text.
pub fn parse(text: &[u8]) -> Result<(PolicyOptions, AdapterOptions), String> {
    let root: Value = serde_json::from_slice(text).map_err(|e| format!("settings are not JSON: {e}"))?;
    parse_value(&root)
}

/// Reads settings from a JSON value, such as a part of a larger document.
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
    for ((class, level), bound_s) in classes.iter().zip(levels).zip(bounds) {
        let bound_s = bound_s.as_f64().ok_or("settings key 'extra.staleness_bound_s' has the wrong type")?;
        let (spec, growth, timeout_ms) = op_type(class, level, bound_s)?;
        op_types.push(spec);
        target_growth.push(growth);
        op_timeouts_ms.push(timeout_ms);
    }
    let name = |value: &Value| optional(value, "name", Value::as_str, "").map(str::to_string);
    let op_type_names = classes.iter().map(name).collect::<Result<_, _>>()?;
    let (mut tenant_rates, mut tenant_names) = (Vec::new(), Vec::new());
    let empty = Vec::new();
    for tenant in optional(root, "tenants", Value::as_array, &empty)? {
        tenant_rates.push(required(tenant, "quota_rps", Value::as_f64)?);
        tenant_names.push(name(tenant)?);
    }
    let zones = optional(root, "areas", Value::as_array, &empty)?.iter();
    let zone_names: Vec<String> = zones
        .map(|zone| zone.as_str().map(str::to_string).ok_or("settings key 'areas' has the wrong type"))
        .collect::<Result<_, _>>()?;
    let zone = optional(root, "az", Value::as_u64, u64::MAX)?;
    let polls_list = required(root, "discovery", Value::as_str)? == "subscribe";
    let names_retry_after = optional(root, "limits.retry_after", Value::as_bool, false)?;
    let policy_options = PolicyOptions {
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
        max_retry_after_ms: if names_retry_after {
            required_ms(root, "limits.max_retry_after_s")?
        } else {
            0.0
        },
        drain_grace_ms: required_ms(root, "rules.drain_grace_s")?,
        gone_is_binding: !optional(root, "rules.dropped_stay_open", Value::as_bool, false)?,
        list_poll_interval_ms: if polls_list { Some(required_ms(root, "rules.ask_every_s")?) } else { None },
        cold_capacity_share: required(root, "rules.cold_from", Value::as_f64)?,
        warmup_ms: required_ms(root, "rules.cold_s")?,
        overload_multiple: required(root, "rules.fall_multiple", Value::as_f64)?,
        overload_window_ms: required_ms(root, "rules.fall_s")?,
        hosts_reject_stale_reads: required(root, "extra.behind", Value::as_str)? != "off",
        track_session_writes: optional(root, "extra.write_marks", Value::as_str, "remembered")?
            == "remembered",
    };
    let report_index = |name: &str| -> Option<usize> {
        lookup(root, "report.fields")?.as_array()?.iter().position(|field| field.as_str() == Some(name))
    };
    let adapter_options = AdapterOptions {
        position_origin_ms: optional(root, "extra.origin_time_s", Value::as_f64, 0.0)? * 1000.0,
        clients_report_writes: !policy_options.track_session_writes,
        clients_mark_retries: optional(root, "clients.marks_retry", Value::as_bool, false)?,
        report_position_index: report_index("x0"),
        report_role_index: report_index("x1"),
        zone_names,
        target_growth,
        op_timeouts_ms,
        op_type_names,
        tenant_names,
        has_session: policy_options
            .op_types
            .iter()
            .map(|spec| matches!(spec.consistency, Consistency::Write | Consistency::Session))
            .collect(),
        is_write: policy_options.op_types.iter().map(|spec| spec.consistency == Consistency::Write).collect(),
        is_tokened: policy_options
            .op_types
            .iter()
            .map(|spec| matches!(spec.retryability, Retryability::Tokened { .. }))
            .collect(),
        conn_idle_timeout_ms: optional_ms(root, "limits.conn_idle_s", 30.0)?,
        connect_timeout_ms: optional_ms(root, "limits.dial_timeout_s", 1.0)?,
    };
    Ok((policy_options, adapter_options))
}
