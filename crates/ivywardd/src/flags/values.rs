//! Parses the values of flags: durations, keywords and lists of `key=value` pairs.

use ivyward::core::interface::{
    ClassSettings, DeduplicationScope, Endpoint, EndpointId, EndpointState, Idempotency, Micros,
    ReportField, TenantSettings,
};
use ivyward::{Class, Engine, Tenant};
use std::collections::BTreeMap;
use std::str::FromStr;

/// Durations must be shorter than this, in microseconds (about 31 years).
const MAX_DURATION: f64 = 1e15;
/// Objective for the time per output token of a class without `tpot-aim`, in microseconds.
const DEFAULT_TPOT: Micros = 50_000;

const ENGINE_KEYS: [&str; 6] = ["id", "address", "role", "zone", "cell", "weight"];
const CLASS_KEYS: [&str; 10] = [
    "name",
    "ttft-aim",
    "ttft-aim-per-1000",
    "tpot-aim",
    "deadline",
    "worth",
    "late-share",
    "effect",
    "group",
    "repeat-window",
];
const TENANT_KEYS: [&str; 2] = ["name", "quota"];

/// The roles and the machine types that stand for them: indexes into `MACHINE_TYPE_ROLES`.
const ROLES: [(&str, u8); 3] = [("prefill", 0), ("decode", 1), ("mixed", 2)];
const IDEMPOTENCY: [(&str, Idempotency); 3] = [
    ("safe", Idempotency::Idempotent),
    ("keyed", Idempotency::WithKey),
    ("unsafe", Idempotency::NonIdempotent),
];
const DEDUPLICATION_SCOPES: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("cell", DeduplicationScope::Rack),
];
const REPORT_FIELDS: [(&str, ReportField); 6] = [
    ("outstanding", ReportField::Outstanding),
    ("backlog", ReportField::Backlog),
    ("utilization", ReportField::Utilization),
    ("recent-ms", ReportField::RecentLatencyMs),
    ("memory-share", ReportField::MemoryShare),
    ("waiting-ktokens", ReportField::WaitingKTokens),
];

/// Why the value of a flag is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValueError {
    #[error("a unit is missing: us, ms, s or m")]
    MissingUnit,
    #[error("unknown unit {0:?}: must be us, ms, s or m")]
    UnknownUnit(String),
    #[error("{0:?} is not a number")]
    InvalidDuration(String),
    #[error("the duration must be under 1000000000s")]
    DurationTooLong,
    #[error("{0:?} is not key=value")]
    NotAPair(String),
    #[error("unknown key {key:?}: must be one of {known}")]
    UnknownKey { key: String, known: String },
    #[error("{0} has no value")]
    EmptyValue(String),
    #[error("{0} is given twice")]
    Duplicate(String),
    #[error("{0} is missing")]
    Missing(String),
    #[error("{key}={value}: {error}")]
    Pair {
        key: String,
        value: String,
        error: Box<ValueError>,
    },
    #[error("not a number, or out of range")]
    NotInRange,
    #[error("not a number")]
    NotANumber,
    #[error("not a whole number, or out of range")]
    NotAWholeNumber,
    #[error("not IP:PORT")]
    NotAnAddress,
    #[error("must be one of {0}")]
    UnknownKeyword(String),
    #[error("weight={0} must be over 0")]
    Weight(f64),
}

/// Parses a duration such as 250ms, 2s, 1.5s or 500us into microseconds.
pub fn duration(text: &str) -> Result<Micros, ValueError> {
    let unit_at = text
        .find(|letter: char| !letter.is_ascii_digit() && letter != '.')
        .ok_or(ValueError::MissingUnit)?;
    let (number, unit) = text.split_at(unit_at);
    let number: f64 = number
        .parse()
        .map_err(|_| ValueError::InvalidDuration(number.into()))?;
    let scale = match unit {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "m" => 60e6,
        other => return Err(ValueError::UnknownUnit(other.into())),
    };
    let micros = number * scale;
    match micros.is_finite() && micros < MAX_DURATION {
        true => Ok(micros.round() as Micros),
        false => Err(ValueError::DurationTooLong),
    }
}

/// The pairs of a text like `key=value,key=value`. Each key is known and occurs once.
struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn read(text: &'a str, known: &[&str]) -> Result<Pairs<'a>, ValueError> {
        let mut pairs = BTreeMap::new();
        for part in text.split(',') {
            let (key, value) = part
                .split_once('=')
                .ok_or_else(|| ValueError::NotAPair(part.into()))?;
            if !known.contains(&key) {
                return Err(ValueError::UnknownKey {
                    key: key.into(),
                    known: known.join(", "),
                });
            }
            if value.is_empty() {
                return Err(ValueError::EmptyValue(key.into()));
            }
            if pairs.insert(key, value).is_some() {
                return Err(ValueError::Duplicate(key.into()));
            }
        }
        Ok(Pairs(pairs))
    }
    fn get<T>(
        &self,
        key: &str,
        read: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Result<Option<T>, ValueError> {
        let Some(value) = self.0.get(key) else {
            return Ok(None);
        };
        let with_key = |error| ValueError::Pair {
            key: key.into(),
            value: (*value).into(),
            error: Box::new(error),
        };
        read(value).map(Some).map_err(with_key)
    }
    fn require<T>(
        &self,
        key: &str,
        read: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Result<T, ValueError> {
        self.get(key, read)?
            .ok_or_else(|| ValueError::Missing(key.into()))
    }
    fn number<T: FromStr>(&self, key: &str, default: T) -> Result<T, ValueError> {
        let read = |text: &str| text.parse::<T>().map_err(|_| ValueError::NotInRange);
        Ok(self.get(key, read)?.unwrap_or(default))
    }
    fn name(&self) -> Result<String, ValueError> {
        self.require("name", |text| Ok(text.to_owned()))
    }
}

fn keyword<T: Copy>(text: &str, keywords: &[(&str, T)]) -> Result<T, ValueError> {
    let found = keywords.iter().find(|(keyword, _)| *keyword == text);
    found.map(|(_, value)| *value).ok_or_else(|| {
        let names: Vec<&str> = keywords.iter().map(|(keyword, _)| *keyword).collect();
        ValueError::UnknownKeyword(names.join(", "))
    })
}

/// Parses the value of `--server`.
pub fn engine(text: &str) -> Result<Engine, ValueError> {
    let pairs = Pairs::read(text, &ENGINE_KEYS)?;
    let id = pairs.require("id", |text| {
        text.parse().map_err(|_| ValueError::NotAWholeNumber)
    })?;
    let address = pairs.require("address", |text| {
        text.parse().map_err(|_| ValueError::NotAnAddress)
    })?;
    let machine_type = pairs.require("role", |text| keyword(text, &ROLES))?;
    let weight: f64 = pairs.number("weight", 1.0)?;
    if !weight.is_finite() || weight <= 0.0 {
        return Err(ValueError::Weight(weight));
    }
    let endpoint = Endpoint {
        id: EndpointId(id),
        zone: pairs.number("zone", 0)?,
        machine_type,
        rack: pairs.number("cell", 0)?,
        state: EndpointState::Ready,
        weight,
        started_at: 0,
    };
    Ok(Engine { endpoint, address })
}

/// Parses the value of `--class`.
pub fn class(text: &str) -> Result<Class, ValueError> {
    let pairs = Pairs::read(text, &CLASS_KEYS)?;
    let settings = ClassSettings {
        ttft_objective: pairs.require("ttft-aim", duration)?,
        ttft_objective_per_1000: pairs.get("ttft-aim-per-1000", duration)?.unwrap_or(0) as f64,
        tpot_objective: pairs.get("tpot-aim", duration)?.unwrap_or(DEFAULT_TPOT) as f64,
        deadline: pairs.require("deadline", duration)?,
        priority_weight: pairs.number("worth", 1.0)?,
        late_weight: pairs.number("late-share", 0.0)?,
        idempotency: pairs
            .get("effect", |text| keyword(text, &IDEMPOTENCY))?
            .unwrap_or(Idempotency::Idempotent),
        deduplication_scope: pairs
            .get("group", |text| keyword(text, &DEDUPLICATION_SCOPES))?
            .unwrap_or(DeduplicationScope::All),
        deduplication_window: pairs.get("repeat-window", duration)?.unwrap_or(0),
    };
    let name = pairs.name()?;
    Ok(Class { name, settings })
}

/// Parses the value of `--tenant`.
pub fn tenant(text: &str) -> Result<Tenant, ValueError> {
    let pairs = Pairs::read(text, &TENANT_KEYS)?;
    let quota_per_s = pairs.get("quota", |text| {
        text.parse::<f64>().map_err(|_| ValueError::NotANumber)
    })?;
    let name = pairs.name()?;
    let settings = TenantSettings { quota_per_s };
    Ok(Tenant { name, settings })
}

/// Parses one value of `--report`.
pub fn report_field(text: &str) -> Result<ReportField, ValueError> {
    keyword(text, &REPORT_FIELDS)
}
