//! Load reports as engines write them.

use ivyward::core::interface::LoadReport;

/// Most values of a report that are used.
const MAX_VALUES: usize = 4;

/// The name that engines may use on the wire for a field of the settings.
fn wire_name(field: &str) -> &'static str {
    match field {
        "outstanding" => "inflight",
        "backlog" => "queue",
        "utilization" => "util",
        "recent_ms" => "latency_ms",
        "throughput" => "qps",
        "errors_per_s" => "eps",
        _ => "",
    }
}

/// Parses a load report such as `TEXT inflight=7, queue=2, util=0.61` into the values of `fields`, in their order. A
/// report with a missing or malformed value counts as none.
pub(super) fn parse(text: &str, fields: &[String]) -> LoadReport {
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let pairs: Vec<(&str, &str)> = text
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='))
        .collect();
    let mut report = LoadReport {
        len: fields.len().min(MAX_VALUES),
        ..LoadReport::default()
    };
    for (value, field) in report.values.iter_mut().zip(fields) {
        let pair = pairs
            .iter()
            .find(|(key, _)| key.trim() == field || key.trim() == wire_name(field));
        let parsed = pair.and_then(|(_, text)| text.trim().parse::<f32>().ok());
        match parsed.filter(|number| number.is_finite()) {
            Some(number) => *value = number,
            None => return LoadReport::default(),
        }
    }
    report
}

#[cfg(test)]
mod tests;
