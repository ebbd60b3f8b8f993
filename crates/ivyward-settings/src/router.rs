//! Reads the router's settings from the values of the settings object.

use crate::error::ParseError;
use crate::keys::Keys;
use ivyward_core::interface::{
    ClassSettings, DeduplicationScope, Idempotency, Micros, ReportField, Role, Settings,
    TenantSettings, UnconfirmedAttempts,
};

/// The maximum number of classes, and of tenants, that are read. Further ones are ignored.
const MAX_ITEMS: usize = 1 << 16;

const IDEMPOTENCY: [(&str, Idempotency); 3] = [
    ("retryable", Idempotency::Idempotent),
    ("dedup", Idempotency::WithKey),
    ("fragile", Idempotency::NonIdempotent),
];

const DEDUPLICATION_SCOPES: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("cell", DeduplicationScope::Rack),
];

/// The values of `discovery`: whether the router must subscribe to the list of endpoints.
const DISCOVERY: [(&str, bool); 2] = [("automatic", false), ("subscribe", true)];

/// Reads all settings of the router.
pub(crate) fn read(keys: &Keys) -> Result<Settings, ParseError> {
    let roles = roles(keys)?;
    let replica_count: u32 = keys.require("balancers")?;
    if replica_count == 0 {
        return Err(ParseError::invalid("balancers", 0));
    }
    let classes = classes(keys)?;
    let tenants = tenants(keys)?;
    Ok(Settings {
        replica_count,
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
        release_within: keys.duration("family_info.let_go_by_us")?,
        // The simulator counts an attempt as in flight from `Action::Send`.
        in_flight_after_last_byte: false,
        unconfirmed_attempts: UnconfirmedAttempts::ReleaseBeside,
        drain_grace: keys.duration("guarantees.drain_grace_us")?,
        overload_multiple: keys.number_or_zero("guarantees.fall_multiple")?,
        overload_window: keys.duration("guarantees.fall_us")?,
        initial_capacity: keys.number_or_zero("guarantees.start_capacity")?,
        warm_up_duration: keys.duration("guarantees.warm_after_us")?,
        must_subscribe: keys.one_of("discovery", &DISCOVERY, Some(false))?,
        max_attempts: keys.get("limits.try_limit")?.unwrap_or(1),
        may_cancel: keys.flag("limits.may_cancel")?,
        health_checks: keys.flag("limits.probes")?,
        hedging: keys.flag("limits.second_copies")?,
        max_retry_after: max_retry_after(keys)?,
        report_fields: report_fields(keys),
    })
}

/// Returns the maximum `Retry-After` of a rejection; 0 if rejections do not carry one.
fn max_retry_after(keys: &Keys) -> Result<Micros, ParseError> {
    match keys.flag("limits.retry_after")? {
        true => keys.duration("limits.max_retry_after_us"),
        false => Ok(0),
    }
}

/// Returns the role of each machine type. At least one is required.
fn roles(keys: &Keys) -> Result<Vec<Role>, ParseError> {
    const KEY: &str = "family_info.kind_role";
    let role = |name: &str| match name {
        "read" => Ok(Role::Prefill),
        "write" => Ok(Role::Decode),
        "both" => Ok(Role::Mixed),
        other => Err(ParseError::invalid_item(KEY, other)),
    };
    let roles = keys.list(KEY).map(role).collect::<Result<Vec<_>, _>>()?;
    if roles.is_empty() {
        return Err(ParseError::missing(KEY));
    }
    Ok(roles)
}

fn classes(keys: &Keys) -> Result<Vec<ClassSettings>, ParseError> {
    let ttft_per_1000 = keys.numbers("family_info.aim_us_per_1000_prompt_tokens")?;
    let tpot = keys.numbers("family_info.token_aim_us")?;
    let count = keys.require::<usize>("classes.count")?.min(MAX_ITEMS);
    let at = |values: &[f64], index: usize| values.get(index).copied().unwrap_or(0.0);
    (0..count)
        .map(|index| class(keys, index, at(&ttft_per_1000, index), at(&tpot, index)))
        .collect()
}

fn class(
    keys: &Keys,
    index: usize,
    ttft_objective_per_1000: f64,
    tpot_objective: f64,
) -> Result<ClassSettings, ParseError> {
    let key = |name: &str| format!("classes.{index}.{name}");
    Ok(ClassSettings {
        ttft_objective: keys.require_duration(&key("target_us"))?,
        ttft_objective_per_1000,
        tpot_objective,
        deadline: keys.require_duration(&key("deadline_us"))?,
        priority_weight: keys.number(&key("importance"))?.unwrap_or(1.0),
        late_weight: keys.number_or_zero(&key("late_share"))?,
        idempotency: keys.one_of(&key("semantics"), &IDEMPOTENCY, None)?,
        deduplication_scope: keys.one_of(
            &key("group"),
            &DEDUPLICATION_SCOPES,
            Some(DeduplicationScope::All),
        )?,
        deduplication_window: keys.duration(&key("key_ttl_us"))?,
    })
}

fn tenants(keys: &Keys) -> Result<Vec<TenantSettings>, ParseError> {
    let count = keys.get::<usize>("parties.count")?.unwrap_or(0);
    let tenant = |index| {
        let quota_per_s = keys.number(&format!("parties.{index}.quota_per_s"))?;
        Ok(TenantSettings { quota_per_s })
    };
    (0..count.min(MAX_ITEMS)).map(tenant).collect()
}

/// Returns the meanings of the values in a load report; none if engines send no reports.
fn report_fields(keys: &Keys) -> Vec<ReportField> {
    match keys.text("report.source") {
        None | Some("none") => Vec::new(),
        Some(_) => {
            let names = keys.list("report.fields");
            names.map(|name| report_field(name, keys)).collect()
        }
    }
}

fn report_field(name: &str, keys: &Keys) -> ReportField {
    let meaning = |key| keys.text(key).unwrap_or("");
    match name {
        "outstanding" => ReportField::Outstanding,
        "backlog" => ReportField::Backlog,
        "utilization" => ReportField::Utilization,
        "recent_ms" => ReportField::RecentLatencyMs,
        "x0" if meaning("family_info.report_x0").starts_with("share_of_memory") => {
            ReportField::MemoryShare
        }
        "x1" if meaning("family_info.report_x1").starts_with("thousands_of_prompt") => {
            ReportField::WaitingKTokens
        }
        _ => ReportField::Other,
    }
}
