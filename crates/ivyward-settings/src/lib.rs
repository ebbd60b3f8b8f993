//! The settings object that the bench's adapter and the platform's configuration share: one parser for both.
//!
//! [`parse`] takes the adapter's text of `path=value` lines, [`from_json`] the same object as nested JSON. Spans are in
//! microseconds; keys that are not known are passed over.

use ivyward_core::interface::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;

/// What the object says beside the module's settings: names, and limits of whoever does I/O.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    /// The module's settings.
    pub module: Settings,
    /// Classes' names, in the module's order.
    pub classes: Vec<String>,
    /// Tenants' names, in the module's order.
    pub tenants: Vec<String>,
    /// Zones' names, in the module's order.
    pub zones: Vec<String>,
    /// Names of the kinds of machines, in the module's order.
    pub kinds: Vec<String>,
    /// Names of the values of a load report, in the module's order.
    pub report_fields: Vec<String>,
    /// An engine closes a connection that was idle for so long; 0 where that is not told.
    pub keepalive: Micros,
    /// A connection that is not open after this counts as failed; 0 where that is not told.
    pub dial_timeout: Micros,
    /// Requests that a node may hold open; 0 where that is not told.
    pub most_open: usize,
}

/// The place of a name among the object's names, which may have spaces and commas replaced by `_`.
pub fn place(names: &[String], name: &str) -> Option<usize> {
    names
        .iter()
        .position(|n| n == name || *n == name.replace([' ', ','], "_"))
}

struct Keys(BTreeMap<String, String>);

impl Keys {
    fn get<T: FromStr>(&self, key: &str) -> Result<Option<T>, String> {
        match self.0.get(key) {
            None => Ok(None),
            Some(text) => text
                .parse()
                .map(Some)
                .map_err(|_| format!("settings: impossible value {text:?} of {key}")),
        }
    }
    fn need<T: FromStr>(&self, key: &str) -> Result<T, String> {
        self.get(key)?
            .ok_or_else(|| format!("settings: {key} is missing"))
    }
    /// A number that must be finite and not negative; `None` where the key is absent.
    fn number(&self, key: &str) -> Result<Option<f64>, String> {
        match self.get::<f64>(key)? {
            Some(v) if !v.is_finite() || v < 0.0 => {
                Err(format!("settings: impossible value {v} of {key}"))
            }
            other => Ok(other),
        }
    }
    fn number_or_zero(&self, key: &str) -> Result<f64, String> {
        Ok(self.number(key)?.unwrap_or(0.0))
    }
    fn span(&self, key: &str) -> Result<Micros, String> {
        Ok(self.number_or_zero(key)? as Micros)
    }
    fn need_span(&self, key: &str) -> Result<Micros, String> {
        Ok(self
            .number(key)?
            .ok_or_else(|| format!("settings: {key} is missing"))? as Micros)
    }
    fn flag(&self, key: &str) -> Result<bool, String> {
        Ok(self.get(key)?.unwrap_or(false))
    }
    fn name(&self, key: &str) -> String {
        self.0.get(key).cloned().unwrap_or_default()
    }
    fn list(&self, key: &str) -> Vec<&str> {
        self.0.get(key).map_or(Vec::new(), |v| {
            v.split(',').filter(|s| !s.is_empty()).collect()
        })
    }
    fn numbers(&self, key: &str) -> Result<Vec<f64>, String> {
        let parse = |t: &str| t.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        let values = self.list(key).into_iter();
        values
            .map(|t| parse(t).ok_or_else(|| format!("settings: impossible value {t:?} in {key}")))
            .collect()
    }
    fn word<T: Copy>(
        &self,
        key: &str,
        words: &[(&str, T)],
        absent: Option<T>,
    ) -> Result<T, String> {
        match (self.0.get(key), absent) {
            (None, Some(value)) => Ok(value),
            (None, None) => Err(format!("settings: {key} is missing")),
            (Some(text), _) => words
                .iter()
                .find(|(word, _)| *word == text.as_str())
                .map(|(_, value)| *value)
                .ok_or_else(|| format!("settings: impossible value {text:?} of {key}")),
        }
    }
}

/// The settings in a text of `path=value` lines; unknown keys are ignored.
///
/// # Errors
/// A line that names the key and its impossible value.
pub fn parse(text: &str) -> Result<Settings, String> {
    let pairs = text.lines().filter_map(|line| line.split_once('='));
    read(&Keys(
        pairs
            .map(|(k, v)| (k.trim().to_owned(), v.trim().to_owned()))
            .collect(),
    ))
}

/// The settings as nested JSON: its paths are the text's, lists of plain values are joined by commas.
///
/// # Errors
/// A line that names the key and its impossible value.
pub fn from_json(object: &Value) -> Result<Told, String> {
    let mut flat = BTreeMap::new();
    flatten(String::new(), object, &mut flat);
    let keys = Keys(flat);
    let module = read(&keys)?;
    let names = |list: &str, n: usize| {
        (0..n)
            .map(|i| keys.name(&format!("{list}.{i}.name")))
            .collect()
    };
    let plain = |key: &str| keys.list(key).into_iter().map(str::to_owned).collect();
    Ok(Told {
        classes: names("classes", module.classes.len()),
        tenants: names("parties", module.tenants.len()),
        zones: plain("failure_domains"),
        kinds: plain("host_types"),
        report_fields: if module.report_fields.is_empty() {
            Vec::new()
        } else {
            plain("report.fields")
        },
        keepalive: keys.span("limits.keepalive_us")?,
        dial_timeout: keys.span("limits.dial_timeout_us")?,
        most_open: keys.get("limits.max_open")?.unwrap_or(0),
        module,
    })
}

fn flatten(path: String, value: &Value, out: &mut BTreeMap<String, String>) {
    let below = |name: &str| {
        if path.is_empty() {
            name.to_owned()
        } else {
            format!("{path}.{name}")
        }
    };
    let plain = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    match value {
        Value::Null => {}
        Value::Object(object) => object
            .iter()
            .for_each(|(name, value)| flatten(below(name), value, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            out.insert(below("count"), items.len().to_string());
            items
                .iter()
                .enumerate()
                .for_each(|(i, value)| flatten(below(&i.to_string()), value, out));
        }
        Value::Array(items) => {
            // Commas separate: the text's own rule for names that hold one.
            let items: Vec<String> = items.iter().map(|v| plain(v).replace(',', "_")).collect();
            out.insert(path, items.join(","));
        }
        other => {
            out.insert(path, plain(other));
        }
    }
}

fn read(keys: &Keys) -> Result<Settings, String> {
    let roles = keys
        .list("family_info.kind_role")
        .into_iter()
        .map(|role| match role {
            "read" => Ok(Role::Prefill),
            "write" => Ok(Role::Decode),
            "both" => Ok(Role::Mixed),
            other => Err(format!(
                "settings: impossible value {other:?} in family_info.kind_role"
            )),
        });
    let roles = roles.collect::<Result<Vec<_>, _>>()?;
    if roles.is_empty() {
        return Err("settings: family_info.kind_role is missing".into());
    }
    let nodes: u32 = keys.need("balancers")?;
    if nodes == 0 {
        return Err("settings: impossible value 0 of balancers".into());
    }
    let stretch = keys.numbers("family_info.aim_us_per_1000_prompt_tokens")?;
    let pace = keys.numbers("family_info.token_aim_us")?;
    let mut classes = Vec::new();
    for i in 0..keys.need::<usize>("classes.count")?.min(1 << 16) {
        let key = |name: &str| format!("classes.{i}.{name}");
        let effects = [
            ("retryable", Idempotency::Idempotent),
            ("dedup", Idempotency::WithKey),
            ("fragile", Idempotency::NonIdempotent),
        ];
        let groups = [
            ("all", DeduplicationScope::All),
            ("zone", DeduplicationScope::Zone),
            ("cell", DeduplicationScope::Rack),
        ];
        classes.push(ClassSettings {
            ttft_objective: keys.need_span(&key("target_us"))?,
            ttft_objective_per_1000: stretch.get(i).copied().unwrap_or(0.0),
            tpot_objective: pace.get(i).copied().unwrap_or(0.0),
            deadline: keys.need_span(&key("deadline_us"))?,
            priority_weight: keys.number(&key("importance"))?.unwrap_or(1.0),
            late_weight: keys.number_or_zero(&key("late_share"))?,
            idempotency: keys.word(&key("semantics"), &effects, None)?,
            deduplication_scope: keys.word(
                &key("group"),
                &groups,
                Some(DeduplicationScope::All),
            )?,
            deduplication_window: keys.span(&key("key_ttl_us"))?,
        });
    }
    let mut tenants = Vec::new();
    for i in 0..keys
        .get::<usize>("parties.count")?
        .unwrap_or(0)
        .min(1 << 16)
    {
        tenants.push(TenantSettings {
            quota_per_s: keys.number(&format!("parties.{i}.quota_per_s"))?,
        });
    }
    let report_fields = match keys.0.get("report.source") {
        None => Vec::new(),
        Some(source) if source == "none" => Vec::new(),
        Some(_) => keys
            .list("report.fields")
            .into_iter()
            .map(|name| report_field(name, keys))
            .collect(),
    };
    Ok(Settings {
        replica_count: nodes,
        zone: keys.get("zone")?.unwrap_or(0),
        roles,
        memory_tokens: keys.numbers("family_info.memory_tokens")?,
        classes,
        tenants,
        over_quota_weight: keys.number("over_share_worth")?.unwrap_or(1.0),
        decode_may_prefill: keys.flag("family_info.local_read")?,
        reserve_decode_slot: keys.flag("family_info.early_pairing")?,
        transfer_price: keys.number_or_zero("family_info.transfer_price")?,
        cross_zone_price: keys.number_or_zero("charges.cross_zone")?,
        release_within: keys.span("family_info.let_go_by_us")?,
        // The simulator counts an attempt from its send.
        in_flight_after_last_byte: false,
        drain_grace: keys.span("guarantees.drain_grace_us")?,
        overload_multiple: keys.number_or_zero("guarantees.fall_multiple")?,
        overload_window: keys.span("guarantees.fall_us")?,
        initial_capacity: keys.number_or_zero("guarantees.start_capacity")?,
        warm_up_duration: keys.span("guarantees.warm_after_us")?,
        must_subscribe: keys.word(
            "discovery",
            &[("automatic", false), ("subscribe", true)],
            Some(false),
        )?,
        max_attempts: keys.get("limits.try_limit")?.unwrap_or(1),
        may_cancel: keys.flag("limits.may_cancel")?,
        health_checks: keys.flag("limits.probes")?,
        hedging: keys.flag("limits.second_copies")?,
        max_retry_after: match keys.flag("limits.retry_after")? {
            true => keys.span("limits.max_retry_after_us")?,
            false => 0,
        },
        report_fields,
    })
}

fn report_field(name: &str, keys: &Keys) -> ReportField {
    let meaning = |key| keys.0.get(key).map_or("", String::as_str);
    match name {
        "outstanding" => ReportField::Outstanding,
        "backlog" => ReportField::Backlog,
        "utilization" => ReportField::Utilization,
        "recent_ms" => ReportField::RecentMs,
        "x0" if meaning("family_info.report_x0").starts_with("share_of_memory") => {
            ReportField::MemoryShare
        }
        "x1" if meaning("family_info.report_x1").starts_with("thousands_of_prompt") => {
            ReportField::WaitingKTokens
        }
        _ => ReportField::Other,
    }
}
